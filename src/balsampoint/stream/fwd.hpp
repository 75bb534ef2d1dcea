#pragma once

/** @brief One answer of a pipeline: its calls to stages, token by token. */
namespace balsampoint::stream {

struct ImportCall;
struct Position;
struct ReplayCall;
struct ReplayReply;
struct StepCall;
struct StepReply;

} // namespace balsampoint::stream
