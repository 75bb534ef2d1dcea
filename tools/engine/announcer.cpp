#include "engine/announcer.hpp"

#include "balsampoint/http/engine_codec.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::engine {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds{ 500 };
constexpr Duration kTimeout = std::chrono::seconds{ 1 };
constexpr std::uint16_t kFirstErrorStatus = 400;

} // namespace

Announcer::Announcer(AnnouncerSettings aSettings, const Handler& aHandler)
  : mSettings{ std::move(aSettings) }
  , mHandler{ aHandler }
  , mThread{ [this] { Run(); } }
{
}

Announcer::~Announcer()
{
  {
    const std::lock_guard lock{ mMutex };
    mStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

void
Announcer::Leave()
{
  {
    const std::lock_guard lock{ mMutex };
    mLeaving = true;
  }
  Announce();
}

void
Announcer::Run()
{
  while (true) {
    Announce();
    std::unique_lock lock{ mMutex };
    mWake.wait_for(lock, kInterval, [this] { return mStopping; });
    if (mStopping) {
      return;
    }
  }
}

void
Announcer::Announce()
{
  const auto body = http::Encode(Current());
  for (const auto& host : mSettings.hosts) {
    if (AnnounceTo(host, body)) {
      return;
    }
  }
}

bool
Announcer::AnnounceTo(const std::string& aHost, const std::string& aBody)
{
  const http::ClientRequest request{ .method = "POST",
                                     .path =
                                       std::string{ http::kAnnouncementsPath },
                                     .body = aBody };
  const auto response = mClients.Call(aHost, request, kTimeout);
  if (!response) {
    spdlog::warn("announcement: {}", response.error().error.detail);
    return false;
  }
  if (response->status >= kFirstErrorStatus) {
    spdlog::warn("announcement refused: {}", response->body);
    return false;
  }
  return true;
}

registry::Announcement
Announcer::Current()
{
  const std::lock_guard lock{ mMutex };
  const auto now = mHandler.Now();
  mReports.push_back(now);
  const auto lag =
    static_cast<std::size_t>(mSettings.loadLag.count() / kInterval.count());
  while (mReports.size() > lag + 1) {
    mReports.pop_front();
  }
  auto announcement = mSettings.first;
  announcement.load = { .runningRequests = mReports.front().running,
                        .kvTokensUsed = mReports.front().kvTokens };
  if (mLeaving) {
    announcement.state = registry::ServerState::Leaving;
  }
  if (!now.holdings.model.Empty()) {
    announcement.holdings.push_back({ .model = now.holdings.model,
                                      .version = now.holdings.version,
                                      .adapters = now.holdings.adapters,
                                      .layers = now.holdings.layers,
                                      .modelLayers = mSettings.modelLayers });
  }
  return announcement;
}

} // namespace balsampoint::engine
