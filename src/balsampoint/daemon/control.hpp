#pragma once

#include "balsampoint/change/module.hpp"
#include "balsampoint/consensus/module.hpp"
#include "balsampoint/fanout/module.hpp"
#include "balsampoint/ledger/module.hpp"
#include "balsampoint/limit/module.hpp"
#include "balsampoint/member/module.hpp"
#include "balsampoint/placement/module.hpp"
#include "balsampoint/registry/module.hpp"
#include "balsampoint/retry/module.hpp"
#include "balsampoint/roster/module.hpp"
#include "balsampoint/runtime/control_loop.hpp"
#include "balsampoint/runtime/mailbox.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/usage/module.hpp"

#include <tuple>
#include <variant>

namespace balsampoint::daemon {

/**
 * @brief A list of decision modules, to name their events, states and loop.
 * @tparam Modules The modules.
 */
template<ControlModule... Modules>
struct ModuleList
{
  using Event = std::variant<typename Modules::Event...>;
  using States = std::tuple<typename Modules::State...>;

  template<typename Runner>
  using Loop =
    runtime::BasicControlLoop<runtime::SteadyClock, Runner, Modules...>;
};

/** @brief The decision modules that the control thread runs. */
using Control = ModuleList<member::Module,
                           registry::Module,
                           retry::Module,
                           limit::Module,
                           ledger::Module,
                           consensus::Module,
                           change::Module,
                           fanout::Module,
                           roster::Module,
                           placement::Module,
                           usage::Module>;

/** @brief The one queue into the control thread. */
using ControlMailbox = runtime::Mailbox<Control::Event>;

} // namespace balsampoint::daemon
