#pragma once

/** @brief One answer of a pipeline: its calls to stages, token by token. */
namespace balsampoint::stream {

struct CallId;
struct ImportCall;
struct Position;
struct Progress;
struct ReplayCall;
struct ReplayReply;
struct Settings;
struct StageState;
struct StepCall;
struct StepReply;
struct StreamRequest;

class HashTokenizer;
class StepTimes;

} // namespace balsampoint::stream
