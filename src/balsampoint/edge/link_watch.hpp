#pragma once

#include "balsampoint/edge/connection_probes.hpp"
#include "balsampoint/edge/detour_path.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/reach/detour.hpp"
#include "balsampoint/reach/proof.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsampoint::edge {

struct TrafficState;

/**
 * @brief Watches whether this host reaches the backend servers, and leads
 * connections through other hosts while it doesn't.
 *
 * A connection that fails doesn't tell a server that is down from a host that
 * is cut off, and one that stands may pass nothing. A check connects to other
 * servers and sends an empty line: to one of them at first, to several if that
 * one fails too.
 */
class LinkWatch
{
public:
  /** @brief Receives whether a check has reached any server. */
  using Callback = std::function<void(bool)>;

  /**
   * @brief Makes a watch that checks only after failures.
   * @param aTraffic State of the traffic thread; outlives the watch.
   */
  explicit LinkWatch(TrafficState& aTraffic);

  LinkWatch(const LinkWatch&) = delete;
  LinkWatch& operator=(const LinkWatch&) = delete;
  LinkWatch(LinkWatch&&) = delete;
  LinkWatch& operator=(LinkWatch&&) = delete;
  ~LinkWatch() = default;

  /** @brief Starts to check also without failures, as often as is needed to
   * tell other hosts whether this one reaches servers. */
  void Start();

  /** @brief Records that a server has answered on a new connection of this
   * host. */
  void OnConnected();

  /** @brief Checks the link after a connection of this host has failed, unless
   * that was done just before. */
  void OnConnectionFailed();

  /**
   * @brief Checks the link, or joins a check in progress.
   * @param aCallback Called once, later, with the result.
   */
  void Check(Callback aCallback);

  /**
   * @brief Replaces the list of hosts that reach servers.
   * @param aDetours The list.
   */
  void SetDetours(std::span<const reach::Detour> aDetours);

  /**
   * @brief Sets the secret that connections through other hosts are opened
   * with.
   * @param aSecret Secret of the cluster.
   */
  void SetSecret(std::string_view aSecret) { mSecret = aSecret; }

  /**
   * @brief Chooses how the next connection to a server is opened, and counts
   * it.
   * @param aServer IP address and port of the server.
   * @return The host that opens it; absent for this one.
   */
  [[nodiscard]] std::optional<DetourPath> TakePath(std::string_view aServer);

private:
  void Poll();
  void ProbeNext();
  void OnProbed(ProbeResult aResult);
  void EndCheck();
  void OnLinkChanged();

  TrafficState& mTraffic;
  /** Tells connections whether the watch still exists. */
  std::shared_ptr<LinkWatch*> mSelf{ std::make_shared<LinkWatch*>(this) };
  net::Timer mTimer;
  std::string mSecret;
  /** Receivers of the result of the check in progress. */
  std::vector<Callback> mCallbacks;
  bool mChecking{ false };
  /** Servers of the check that aren't connected to yet. */
  std::vector<std::string> mReferences;
  /** Connections of the check that have no result yet. */
  std::size_t mPending{};
  /** What the connections of the check have to show, and have shown so far. */
  reach::Proof mProof{ reach::Proof::Open };
  reach::CheckResult mResult{ reach::CheckResult::Refused };
};

} // namespace balsampoint::edge
