#pragma once

#include "balsampoint/runtime/mailbox.hpp"
#include "balsampoint/trace/query/encode_span.hpp"

#include <atomic>
#include <concepts>
#include <cstdint>
#include <string_view>
#include <thread>
#include <utility>

namespace balsampoint::trace {

/**
 * @brief Takes encoded spans; may block or lose them.
 * @tparam T Type to test.
 */
template<typename T>
concept SpanSink = requires(T& aSink, std::string_view aLine) {
  {
    aSink.Write(aLine)
  } -> std::same_as<bool>;
};

/**
 * @brief Hands spans to a sink on a thread of its own.
 *
 * `Export` never waits for the sink: past the bound of the queue spans are
 * dropped and counted.
 * @tparam Sink Takes the encoded spans.
 */
template<typename Sink>
class BasicExporter
{
public:
  /**
   * @brief Starts the writer.
   * @param aHost Host that the spans are recorded on.
   * @param aSink Takes the spans.
   * @param aCapacity Spans that wait at most.
   */
  BasicExporter(HostId aHost, Sink aSink, std::size_t aCapacity)
    : mHost{ std::move(aHost) }
    , mSink{ std::move(aSink) }
    , mQueue{ aCapacity }
    , mWriter{ [this] { Write(); } }
  {
  }

  BasicExporter(const BasicExporter&) = delete;
  BasicExporter& operator=(const BasicExporter&) = delete;
  BasicExporter(BasicExporter&&) = delete;
  BasicExporter& operator=(BasicExporter&&) = delete;

  /** @brief Writes what waits, then ends. */
  ~BasicExporter()
  {
    mQueue.Close();
    mWriter.join();
  }

  /**
   * @brief Queues a span, or drops it when the queue is full.
   * @param aSpan The span; one that is not sampled is left out.
   */
  void Export(Span aSpan)
  {
    if (aSpan.context.sampled && !mQueue.Push(std::move(aSpan))) {
      mDropped.fetch_add(1, std::memory_order_relaxed);
    }
  }

  /** @brief Spans that were dropped or that the sink failed to take. */
  [[nodiscard]] std::uint64_t Dropped() const
  {
    return mDropped.load(std::memory_order_relaxed);
  }

private:
  static_assert(SpanSink<Sink>);

  void Write()
  {
    mQueue.Consume([this](const Span& aSpan) {
      if (!mSink.Write(EncodeSpan(aSpan, mHost))) {
        mDropped.fetch_add(1, std::memory_order_relaxed);
      }
    });
  }

  const HostId mHost;
  Sink mSink;
  runtime::Mailbox<Span> mQueue;
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::thread mWriter;
};

} // namespace balsampoint::trace
