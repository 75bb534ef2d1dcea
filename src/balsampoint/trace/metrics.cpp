#include "balsampoint/trace/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace balsampoint::trace {

namespace {

struct Name
{
  std::string_view name;
  std::string_view help;
};

constexpr std::array<std::string_view, 4> kOutcomes{ "complete",
                                                     "refused",
                                                     "broken",
                                                     "caller_gone" };
constexpr std::array kCounts{
  Name{ "balsampoint_recoveries_total", "Stages replaced in mid-answer." },
  Name{ "balsampoint_tokens_total", "Tokens sent to callers." },
  Name{ "balsampoint_servers_leaving_total",
        "Servers that said in an answer that they leave." },
  Name{ "balsampoint_servers_backed_off_total",
        "Answers with which a server asked for a time without requests." },
  Name{ "balsampoint_answers_discarded_total",
        "Answers of servers that are not the answer to the request." },
  Name{ "balsampoint_rate_limits_named_total",
        "Answers with which a server changed the rate that it takes." },
  Name{ "balsampoint_requests_waited_total",
        "Requests that waited for room on the servers." },
  Name{ "balsampoint_memory_refusals_total",
        "Requests refused because connections hold too many bytes." },
  Name{ "balsampoint_memory_cuts_total",
        "Connections reset because connections hold too many bytes." },
};
constexpr std::array<std::string_view, 4> kRoomRefusals{ "too_late",
                                                         "queue_full",
                                                         "expired",
                                                         "no_target" };
constexpr std::array kTimings{
  Name{ "balsampoint_first_token_seconds", "Request to first token." },
  Name{ "balsampoint_between_tokens_seconds", "One token to the next." },
  Name{ "balsampoint_queue_wait_seconds", "Wait for admission." },
  Name{ "balsampoint_request_seconds", "Request to the end of its answer." }
};
constexpr std::array kLevels{
  Name{ "balsampoint_live_servers", "Backend servers with a lease." },
  Name{ "balsampoint_change_number", "Configuration in force on the host." },
  Name{ "balsampoint_dropped_spans", "Spans that were not written." },
  Name{ "balsampoint_dropped_lines", "Lines of the log not written." },
  Name{ "balsampoint_servers_reachable",
        "1 while the host can open connections to backend servers, else 0." },
  Name{ "balsampoint_detour_connections",
        "Connections to backend servers held open for other hosts." },
  Name{ "balsampoint_requests_waiting",
        "Requests that wait for room on the servers." },
  Name{ "balsampoint_held_bytes", "Bytes that connections hold." },
  Name{ "balsampoint_paused_connections",
        "Connections that are not read because others hold too many bytes." }
};

prometheus::Histogram::BucketBoundaries
Buckets()
{
  return { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1,
           0.2,    0.44,  1,     2,     5,    10,   30,   60 };
}

template<typename Kind>
std::size_t
Index(Kind aKind)
{
  return static_cast<std::size_t>(aKind);
}

} // namespace

Metrics::Metrics()
{
  auto& outcomes = prometheus::BuildCounter()
                     .Name("balsampoint_requests_total")
                     .Help("Requests by outcome.")
                     .Register(mRegistry);
  for (const auto outcome : kOutcomes) {
    mOutcomes.push_back(
      &outcomes.Add({ { "outcome", std::string{ outcome } } }));
  }
  auto& errors = prometheus::BuildCounter()
                   .Name("balsampoint_errors_total")
                   .Help("Refusals and failures by kind.")
                   .Register(mRegistry);
  for (const auto& answer : ErrorAnswers()) {
    mErrors.push_back(&errors.Add({ { "kind", std::string{ answer.name } } }));
  }
  for (const auto& [name, help] : kCounts) {
    mCounts.push_back(&prometheus::BuildCounter()
                         .Name(std::string{ name })
                         .Help(std::string{ help })
                         .Register(mRegistry)
                         .Add({}));
  }
  for (const auto& [name, help] : kTimings) {
    mTimings.push_back(&prometheus::BuildHistogram()
                          .Name(std::string{ name })
                          .Help(std::string{ help })
                          .Register(mRegistry)
                          .Add({}, Buckets()));
  }
  for (const auto& [name, help] : kLevels) {
    mLevels.push_back(&prometheus::BuildGauge()
                         .Name(std::string{ name })
                         .Help(std::string{ help })
                         .Register(mRegistry)
                         .Add({}));
  }
  RegisterAdmission();
  Set(Level::ServersReachable, 1.0);
}

void
Metrics::RegisterAdmission()
{
  auto& refusals = prometheus::BuildCounter()
                     .Name("balsampoint_refused_without_room_total")
                     .Help("Requests refused for lack of room, by cause.")
                     .Register(mRegistry);
  for (const auto cause : kRoomRefusals) {
    mRoomRefusals.push_back(
      &refusals.Add({ { "cause", std::string{ cause } } }));
  }
  auto& levels = prometheus::BuildGauge()
                   .Name("balsampoint_admission_level")
                   .Help("Fill level of the servers' KV that the requests of "
                         "an urgency may use.")
                   .Register(mRegistry);
  for (std::size_t rank = 0; rank < kLevelRanks; ++rank) {
    mAdmissionLevels.push_back(
      &levels.Add({ { "rank", std::to_string(rank) } }));
  }
}

void
Metrics::Add(RoomRefusal aRefusal)
{
  mRoomRefusals[Index(aRefusal)]->Increment();
}

void
Metrics::SetAdmissionLevel(std::size_t aRank, double aLevel)
{
  mAdmissionLevels.at(aRank)->Set(aLevel);
}

void
Metrics::Add(Outcome aOutcome)
{
  mOutcomes[Index(aOutcome)]->Increment();
}

void
Metrics::Add(ErrorKind aKind)
{
  mErrors[Index(aKind)]->Increment();
}

void
Metrics::Add(Count aCount, std::uint64_t aTimes)
{
  mCounts[Index(aCount)]->Increment(static_cast<double>(aTimes));
}

void
Metrics::Record(Timing aTiming, Duration aDuration)
{
  mTimings[Index(aTiming)]->Observe(
    std::chrono::duration<double>(aDuration).count());
}

void
Metrics::Set(Level aLevel, double aValue)
{
  mLevels[Index(aLevel)]->Set(aValue);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer{}.Serialize(mRegistry.Collect());
}

} // namespace balsampoint::trace
