#include <LibHttp/CivetWebLibrary.h>

#include <civetweb.h>

namespace LibHttp
{

void initializeCivetWeb()
{
    static const unsigned features = mg_init_library(0);
    (void)features;
}

} // namespace LibHttp
