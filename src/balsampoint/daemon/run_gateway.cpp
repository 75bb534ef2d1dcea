#include <absl/flags/flag.h>
#include <string>

ABSL_FLAG(std::string, settings, "", "Settings file of this host.");
