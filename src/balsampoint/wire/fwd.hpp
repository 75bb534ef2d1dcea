#pragma once

/** @brief Parsing and framing of HTTP/1.1 messages, without sockets. */
namespace balsampoint::wire {

class EventSplitter;
class Fields;
struct EmbeddedHead;
struct RequestHead;
struct ResponseHead;

} // namespace balsampoint::wire
