#pragma once

/** @brief What a host tells of its work: spans, metrics and log lines. */
namespace balsampoint::trace {

template<typename Sink>
class BasicExporter;

class FileSink;
class Hop;
class LogScope;
class Metrics;

struct Attribute;
struct Context;
struct Span;
struct Telemetry;

} // namespace balsampoint::trace
