#include "balsampoint/trace/metrics.hpp"

#include "balsampoint/trace/timed_sink.hpp"
#include "fake/clock.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::trace;

namespace {

struct NullSink
{
  void Emit(const stream::Emit& /*aToken*/) {}
  void Finish(const stream::Finish& /*aFinish*/) {}
  void Fail(const Error& /*aError*/) {}
  bool CallerGone() { return false; }
};

bool
Shows(const Metrics& aMetrics, std::string_view aLine)
{
  return aMetrics.Text().find(aLine) != std::string::npos;
}

} // namespace

Test(metrics, counts_refusals_by_kind)
{
  Metrics metrics;
  metrics.Add(ErrorKind::NoServer);
  cr_assert(Shows(metrics, "balsampoint_errors_total{kind=\"no_server\"} 1"));
  cr_assert(Shows(metrics, "balsampoint_errors_total{kind=\"internal\"} 0"));
}

Test(timed_sink, records_first_token_and_outcome)
{
  Metrics metrics;
  const fake::Clock clock;
  NullSink inner;
  BasicTimedSink sink{ inner, metrics, clock };
  sink.Emit({});
  sink.Emit({});
  sink.Finish({});
  cr_assert(Shows(metrics, "balsampoint_first_token_seconds_count 1"));
  cr_assert(Shows(metrics, "balsampoint_between_tokens_seconds_count 1"));
  cr_assert(
    Shows(metrics, "balsampoint_requests_total{outcome=\"complete\"} 1"));
}
