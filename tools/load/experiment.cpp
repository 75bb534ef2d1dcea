#include "load/experiment.hpp"

#include "balsampoint/runtime/steady_clock.hpp"
#include "load/answer_source.hpp"
#include "load/expected_answer.hpp"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace balsampoint::load {

namespace {

using runtime::SteadyClock;

/** @brief Collects the answers of all threads. */
class Collector
{
public:
  void Begin()
  {
    const std::lock_guard lock{ mMutex };
    mResult.mostInProgress = std::max(mResult.mostInProgress, ++mInProgress);
  }

  void End(AnswerEnd aEnd,
           bool aRight,
           const Histogram& aFirst,
           const Histogram& aBetween)
  {
    const std::lock_guard lock{ mMutex };
    --mInProgress;
    mResult.firstToken.Merge(aFirst);
    mResult.betweenTokens.Merge(aBetween);
    if (aEnd == AnswerEnd::Refused) {
      ++mResult.refused;
    } else if (aEnd == AnswerEnd::Broken) {
      ++mResult.broken;
    } else if (aRight) {
      ++mResult.right;
    } else {
      ++mResult.wrong;
    }
  }

  Result& Collected() { return mResult; }

private:
  std::mutex mMutex;
  Result mResult;
  std::uint32_t mInProgress{};
};

void
RunRequest(const Experiment& aExperiment,
           std::uint32_t aNumber,
           Collector& aCollector)
{
  aCollector.Begin();
  const auto prompt = "request " + std::to_string(aNumber);
  Histogram first;
  Histogram between;
  std::string text;
  auto last = SteadyClock::Now();
  const auto read = [&](const std::string& aToken) {
    const auto now = SteadyClock::Now();
    (text.empty() ? first : between).Add(now - last);
    last = now;
    text += aToken;
  };
  const auto end = aExperiment.direct.empty()
                     ? StreamThroughSystem(aExperiment, aNumber, prompt, read)
                     : StreamDirectly(aExperiment, aNumber, prompt, read);
  const bool right =
    text == ExpectedAnswer(prompt, aExperiment.tokens, aExperiment.layers);
  aCollector.End(end, right, first, between);
}

} // namespace

Result
RunExperiment(const Experiment& aExperiment)
{
  Collector collector;
  std::vector<std::jthread> threads;
  threads.reserve(aExperiment.requests);
  std::mutex mutex;
  std::condition_variable pause;
  const auto start = SteadyClock::Now();
  const std::chrono::duration<double> gap{ 1.0 / aExperiment.rate };
  for (std::uint32_t number = 0; number < aExperiment.requests; ++number) {
    const auto due = start + std::chrono::duration_cast<Duration>(gap * number);
    std::unique_lock lock{ mutex };
    pause.wait_for(lock, due - SteadyClock::Now(), [] { return false; });
    threads.emplace_back([&aExperiment, number, &collector] {
      RunRequest(aExperiment, number, collector);
    });
  }
  threads.clear();
  auto& result = collector.Collected();
  result.seconds =
    std::chrono::duration<double>(SteadyClock::Now() - start).count();
  return result;
}

std::string
EncodeResult(const Result& aResult)
{
  constexpr double kMedian = 0.5;
  constexpr double kHigh = 0.95;
  constexpr double kHighest = 0.99;
  const auto times = [](const Histogram& aTimes) {
    return nlohmann::json{ { "count", aTimes.Count() },
                           { "p50_ms", aTimes.Milliseconds(kMedian) },
                           { "p95_ms", aTimes.Milliseconds(kHigh) },
                           { "p99_ms", aTimes.Milliseconds(kHighest) } };
  };
  const nlohmann::json document{ { "right", aResult.right },
                                 { "wrong", aResult.wrong },
                                 { "broken", aResult.broken },
                                 { "refused", aResult.refused },
                                 { "most_in_progress", aResult.mostInProgress },
                                 { "seconds", aResult.seconds },
                                 { "first_token", times(aResult.firstToken) },
                                 { "between_tokens",
                                   times(aResult.betweenTokens) } };
  return document.dump(2);
}

} // namespace balsampoint::load
