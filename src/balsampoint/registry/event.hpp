#pragma once

#include "balsampoint/member/host.hpp"
#include "balsampoint/registry/announcement.hpp"
#include "balsampoint/registry/health.hpp"
#include "balsampoint/registry/message.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace balsampoint::registry {

/** @brief A server announced itself to this host; `Answered` follows. */
struct Announced
{
  Ticket ticket;
  Announcement announcement;
};

/** @brief A configuration came into force. */
struct Configured
{
  /** Layers of each configured model. */
  std::map<ModelId, std::uint32_t> modelLayers;
};

/** @brief The list of hosts changed. */
struct HostsChanged
{
  std::shared_ptr<const member::View> view;
};

/** @brief Traffic threads had contact with servers. */
struct Observed
{
  std::vector<Observation> observations;
};

/** @brief A message of another host arrived. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief What the registry reacts to. */
using Event =
  std::variant<Announced, Configured, HostsChanged, Observed, Received>;

} // namespace balsampoint::registry
