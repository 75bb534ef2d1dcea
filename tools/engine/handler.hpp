#pragma once

#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/http/listener.hpp"
#include "engine/batch_schedule.hpp"
#include "engine/faults.hpp"
#include "engine/model_engine.hpp"
#include "engine/plain_service.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace balsampoint::engine {

/** @brief What kind of stand-in a process is and how it behaves. */
struct Profile
{
  bool isEngine{ true };
  /** Named in replies, so that a restart behind a connection shows. */
  Incarnation incarnation;
  Holdings holdings;
  TimeModel times;
  Faults faults;
  bool checksFencing{ false };
  /** Time that a plain service takes for one call. */
  Duration serviceTime{};
};

/** @brief Figures for the next announcement. */
struct Report
{
  std::uint32_t running{};
  std::uint64_t kvTokens{};
  Holdings holdings;
};

/** @brief Answers a stand-in's HTTP calls. */
class Handler
{
public:
  /**
   * @brief Starts without requests.
   * @param aProfile How the stand-in behaves.
   */
  explicit Handler(Profile aProfile);

  /**
   * @brief Answers one call.
   * @param aRequest The call.
   * @param aResponse The answer.
   */
  void Handle(http::ServerRequest& aRequest, http::ServerResponse& aResponse);

  /** @brief Figures of now. */
  [[nodiscard]] Report Now() const;

  /** @brief Wakes all calls that wait, for the end of the process. */
  void Stop();

private:
  /** @brief What became of one call. */
  struct Outcome
  {
    std::string body;
    Instant readyAt{};
  };

  using Result = tl::expected<Outcome, Error>;

  [[nodiscard]] Result Run(http::ServerRequest& aRequest,
                           const std::string& aBody);
  [[nodiscard]] Result RunEngine(const std::string& aPath,
                                 const std::string& aBody);
  [[nodiscard]] Result RunStep(const std::string& aBody);
  [[nodiscard]] Result RunReplay(const std::string& aBody);
  [[nodiscard]] Result RunImport(const std::string& aBody);
  [[nodiscard]] Result RunOrder(const std::string& aBody);
  [[nodiscard]] Result RunExport(const std::string& aRequest);
  [[nodiscard]] Result RunPlain(http::ServerRequest& aRequest,
                                const std::string& aBody);
  [[nodiscard]] Result Control(http::ServerRequest& aRequest,
                               const std::string& aBody);
  [[nodiscard]] static bool IsControl(const std::string& aPath);
  /** Applies the faults that come before a call; true when it gets none. */
  [[nodiscard]] bool FaultBefore();
  void Reply(http::ServerResponse& aResponse, const Result& aResult);
  void WaitUntil(Instant aTime);
  void Hang();

  mutable std::mutex mMutex;
  std::condition_variable mStopped;
  bool mStopping{ false };
  Profile mProfile;
  ModelEngine mEngine;
  PlainService mService;
  BatchSchedule mSchedule;
  std::uint64_t mCalls{};
  std::uint32_t mRunning{};
  std::uint64_t mFencingNumber{};
  std::map<std::string, std::string> mOrderResults;
  std::string mEarlierBody;
  http::ClientPool mClients;
};

} // namespace balsampoint::engine
