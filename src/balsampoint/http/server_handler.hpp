#pragma once

#include "balsampoint/http/listener.hpp"
#include "balsampoint/registry/announcement.hpp"

#include <functional>
#include <tl/expected.hpp>

namespace balsampoint::http {

/** @brief Answers backend servers: announcements. */
class ServerHandler
{
public:
  /**
   * @brief Hands an announcement to the control thread and waits for it.
   *
   * Returns the time within which the server renews, or the refusal.
   */
  using Announce =
    std::function<tl::expected<Duration, Error>(registry::Announcement)>;

  /**
   * @brief Keeps the way to the control thread.
   * @param aAnnounce Called on a traffic thread for each announcement.
   */
  explicit ServerHandler(Announce aAnnounce);

  /**
   * @brief Answers one request.
   * @param aRequest The request.
   * @param aResponse The answer.
   */
  void Handle(ServerRequest& aRequest, ServerResponse& aResponse);

private:
  Announce mAnnounce;
};

} // namespace balsampoint::http
