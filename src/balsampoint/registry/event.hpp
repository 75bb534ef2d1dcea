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
  /** Number of layers of each configured model. */
  std::map<ModelId, std::uint32_t> modelLayers;
};

/** @brief The membership view changed. */
struct HostsChanged
{
  std::shared_ptr<const member::View> view;
};

/** @brief Traffic threads report outcomes of their requests to servers. */
struct Observed
{
  std::vector<Observation> observations;
};

/** @brief A message arrived from another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief Input of the registry. */
using Event =
  std::variant<Announced, Configured, HostsChanged, Observed, Received>;

} // namespace balsampoint::registry
