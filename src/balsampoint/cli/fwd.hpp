#pragma once

/** @brief The operators' command line. */
namespace balsampoint::cli {

class Client;

struct Options;

} // namespace balsampoint::cli
