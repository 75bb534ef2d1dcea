#pragma once

#include "balsampoint/trace/exporter.hpp"
#include "balsampoint/trace/file_sink.hpp"
#include "balsampoint/trace/metrics.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::trace {

/** @brief Hands spans to a file of OTLP JSON lines. */
using FileExporter = BasicExporter<FileSink>;

/** @brief Where one host's figures and spans go. */
struct Telemetry
{
  Metrics metrics;
  /** Set when the settings name a trace file. */
  std::optional<FileExporter> exporter;
};

/** @brief One hop of a request; its span ends with the object. */
class Hop
{
public:
  /**
   * @brief Starts a span.
   * @param aTelemetry Takes the span; outlives the hop.
   * @param aParent Trace and span that caused this one.
   * @param aName What the hop does.
   */
  Hop(Telemetry& aTelemetry, const Context& aParent, std::string_view aName);

  Hop(const Hop&) = delete;
  Hop& operator=(const Hop&) = delete;
  Hop(Hop&&) = delete;
  Hop& operator=(Hop&&) = delete;

  /** @brief Ends the span and hands it on. */
  ~Hop();

  /** @brief Trace and span for the calls that this hop makes. */
  [[nodiscard]] const Context& Here() const { return mSpan.context; }

  /**
   * @brief Adds a fact.
   * @param aName Its name.
   * @param aValue Its value.
   */
  void Note(std::string_view aName, std::string_view aValue);

  /** @brief Marks the hop as failed. */
  void Fail() { mSpan.failed = true; }

private:
  Telemetry& mTelemetry;
  Span mSpan;
};

} // namespace balsampoint::trace
