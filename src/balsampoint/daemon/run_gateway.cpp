#include "balsampoint/daemon/run_gateway.hpp"

ABSL_FLAG(std::string, settings, "", "Settings file of this host.");
