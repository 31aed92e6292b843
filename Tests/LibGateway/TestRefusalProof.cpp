#include <LibGateway/RefusalProof.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

struct ProofCase {
    const char *name;
    int status;
    bool notRun;
    std::string responseId;
    std::string requestId;
    RefusalProof proof;
};

class RefusalProofTest : public testing::TestWithParam<ProofCase>
{
};

// Guards against a refusal of another request that is taken for one of this request, which may be running.
TEST_P(RefusalProofTest, NeedsAStatementAndTheRequestsId)
{
    ResponseInfo info;
    info.notRun = GetParam().notRun;
    info.requestId = GetParam().responseId;
    EXPECT_EQ(proofOfRefusal(GetParam().status, info, GetParam().requestId), GetParam().proof);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusalProofTest,
                         testing::Values(ProofCase{"stated", 503, true, "a", "a", RefusalProof::Proven},
                                         ProofCase{"stated_for_a_bad_request", 400, true, "a", "a", RefusalProof::Proven},
                                         ProofCase{"misdirected", 421, false, "a", "a", RefusalProof::Proven},
                                         ProofCase{"without_an_id", 503, true, "", "a", RefusalProof::Unproven},
                                         ProofCase{"misdirected_without_an_id", 421, false, "", "a", RefusalProof::Unproven},
                                         ProofCase{"of_another_request", 503, true, "b", "a", RefusalProof::Unproven},
                                         ProofCase{"of_a_request_without_an_id", 400, true, "", "", RefusalProof::Unproven},
                                         ProofCase{"stated_in_a_success", 200, true, "a", "a", RefusalProof::Unproven},
                                         ProofCase{"unavailable_without_a_statement", 503, false, "a", "a", RefusalProof::Unproven},
                                         ProofCase{"too_many_without_a_statement", 429, false, "a", "a", RefusalProof::Unproven},
                                         ProofCase{"timeout_without_a_statement", 408, false, "a", "a", RefusalProof::Unproven},
                                         ProofCase{"success", 200, false, "a", "a", RefusalProof::NoRefusal},
                                         ProofCase{"failure", 500, false, "a", "a", RefusalProof::NoRefusal}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
