#include "balsampoint/trace/exporter.hpp"

#include "balsampoint/trace/file_sink.hpp"

#include <condition_variable>
#include <criterion/criterion.h>
#include <memory>
#include <mutex>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::trace;

namespace {

/** @brief A sink that takes nothing until it is opened. */
struct Gate
{
  std::mutex mutex;
  std::condition_variable opened;
  bool open{ false };
  std::vector<std::string> lines;
};

struct GateSink
{
  std::shared_ptr<Gate> gate;

  bool Write(std::string_view aLine) const
  {
    std::unique_lock lock{ gate->mutex };
    gate->opened.wait(lock, [this] { return gate->open; });
    gate->lines.emplace_back(aLine);
    return true;
  }
};

Span
MakeSpan()
{
  return { .context{ .traceHigh = 1, .traceLow = 2, .span = 3 },
           .parent = 4,
           .name = "completion" };
}

} // namespace

Test(exporter, drops_spans_rather_than_wait_for_the_sink)
{
  constexpr std::uint64_t kSpans = 100;
  constexpr std::size_t kCapacity = 10;
  const auto gate = std::make_shared<Gate>();
  std::uint64_t dropped = 0;
  {
    BasicExporter exporter{ HostId{ "h" }, GateSink{ gate }, kCapacity };
    for (std::uint64_t span = 0; span < kSpans; ++span) {
      exporter.Export(MakeSpan());
    }
    dropped = exporter.Dropped();
    const std::lock_guard lock{ gate->mutex };
    gate->open = true;
    gate->opened.notify_all();
  }
  cr_assert_geq(dropped, kSpans - kCapacity - 1);
  cr_assert_eq(gate->lines.size() + dropped, kSpans);
}

Test(exporter, counts_what_the_sink_loses)
{
  BasicExporter exporter{ HostId{ "h" }, FileSink{ "/proc/no/such" }, 1 };
  cr_assert_eq(exporter.Dropped(), 0);
  FileSink sink{ "/proc/no/such" };
  cr_assert_not(sink.Write("x\n"));
}

Test(encode_span, names_trace_span_parent_and_host)
{
  const auto line = EncodeSpan(MakeSpan(), HostId{ "colombo-a-1" });
  cr_assert(line.find(R"("spanId":"0000000000000003")") != std::string::npos);
  cr_assert(line.find(R"("parentSpanId":"0000000000000004")") !=
            std::string::npos);
  cr_assert(line.find("colombo-a-1") != std::string::npos);
  cr_assert(line.ends_with("}\n"));
}
