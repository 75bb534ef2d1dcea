#pragma once

#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/registry/announcement.hpp"
#include "engine/handler.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsampoint::engine {

/** @brief What a stand-in announces and to whom. */
struct AnnouncerSettings
{
  /** The announcement without holdings and load. */
  registry::Announcement first;
  /** Server listeners of the zone's hosts; the first that answers is used. */
  std::vector<std::string> hosts;
  std::uint32_t modelLayers{};
  /** How old the reported load is. */
  Duration loadLag{};
};

/** @brief Announces a stand-in to a host of its zone until it leaves. */
class Announcer
{
public:
  /**
   * @brief Starts announcing.
   * @param aSettings What and to whom.
   * @param aHandler Gives the load; outlives the announcer.
   */
  Announcer(AnnouncerSettings aSettings, const Handler& aHandler);

  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;
  Announcer(Announcer&&) = delete;
  Announcer& operator=(Announcer&&) = delete;

  /** @brief Stops announcing. */
  ~Announcer();

  /** @brief Announces that the server is leaving. */
  void Leave();

private:
  void Run();
  void Announce();
  bool AnnounceTo(const std::string& aHost, const std::string& aBody);
  [[nodiscard]] registry::Announcement Current();

  AnnouncerSettings mSettings;
  const Handler& mHandler;
  http::ClientPool mClients;
  std::deque<Report> mReports;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping{ false };
  bool mLeaving{ false };
  std::thread mThread;
};

} // namespace balsampoint::engine
