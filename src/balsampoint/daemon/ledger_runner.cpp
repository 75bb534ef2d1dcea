#include "balsampoint/daemon/ledger_runner.hpp"

#include <spdlog/spdlog.h>
#include <variant>

namespace balsampoint::daemon {

LedgerRunner::LedgerRunner(ControlMailbox& aMailbox,
                           traffic::ControlGate& aGate)
  : mMailbox{ aMailbox }
  , mGate{ aGate }
{
}

void
LedgerRunner::Run(const ledger::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
LedgerRunner::Do(const ledger::Send& aSend)
{
  spdlog::debug("ledger: no way to host {}", aSend.to.Value());
}

void
LedgerRunner::Do(const ledger::Replicate& aReplicate)
{
  const bool posted = mMailbox.Push(
    ledger::Event{ ledger::ReplicateRefused{ aReplicate.ticket } });
  if (!posted) {
    spdlog::error("the control queue is full");
  }
}

void
LedgerRunner::Do(const ledger::Decided& aDecided)
{
  mGate.Complete(aDecided);
}

void
LedgerRunner::Do(const ledger::Lost& aLost)
{
  mGate.Complete(aLost);
}

} // namespace balsampoint::daemon
