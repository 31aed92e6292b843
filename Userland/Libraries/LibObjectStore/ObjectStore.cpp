#include <LibObjectStore/ObjectStore.h>

namespace LibObjectStore
{

bool mayHaveTakenEffect(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kDeadlineExceeded || status.code() == absl::StatusCode::kDataLoss || status.code() == absl::StatusCode::kUnknown;
}

} // namespace LibObjectStore
