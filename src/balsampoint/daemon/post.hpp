#pragma once

#include "balsampoint/daemon/control.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::daemon {

/**
 * @brief Posts an event that must not be lost to the control thread.
 *
 * A lost event would let a replicated table differ from the log, so a full
 * queue ends the process; a restart reads the log again.
 * @param aMailbox Queue into the control thread.
 * @param aEvent The event.
 */
inline void
Post(ControlMailbox& aMailbox, Control::Event aEvent)
{
  if (!aMailbox.Push(std::move(aEvent)) && !aMailbox.Closed()) {
    throw Failure{ MakeError(ErrorKind::Overloaded,
                             "the control queue is full") };
  }
}

/**
 * @brief Posts an event whose loss only delays what this host knows of others,
 * until the next one.
 * @param aMailbox Queue into the control thread.
 * @param aEvent The event.
 */
inline void
PostOrDrop(ControlMailbox& aMailbox, Control::Event aEvent)
{
  if (!aMailbox.Push(std::move(aEvent)) && !aMailbox.Closed()) {
    spdlog::warn("the control queue is full; an event is dropped");
  }
}

} // namespace balsampoint::daemon
