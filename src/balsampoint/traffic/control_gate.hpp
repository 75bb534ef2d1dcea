#pragma once

#include "balsampoint/ledger/call.hpp"
#include "balsampoint/ledger/module.hpp"
#include "balsampoint/limit/module.hpp"
#include "balsampoint/retry/module.hpp"
#include "balsampoint/runtime/reply_table.hpp"

#include <atomic>
#include <functional>
#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::traffic {

/**
 * @brief Where traffic threads ask the control thread and wait for it.
 *
 * Every wait has a deadline; a full control queue refuses at once.
 */
class ControlGate
{
public:
  /** @brief A question for one of the decision modules. */
  using Request = std::variant<retry::Event, limit::Event, ledger::Event>;
  /** @brief Puts a question into the control queue, or says that it's full. */
  using Post = std::function<bool(Request)>;

  /** @brief A request's admission; gives its place back at its end. */
  class Pass
  {
  public:
    /**
     * @brief Asks for admission and waits for it.
     * @param aGate The gate; outlives the pass.
     * @param aArrived The request; its ticket is filled in.
     */
    Pass(ControlGate& aGate, limit::Arrived aArrived);

    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;
    Pass(Pass&&) = delete;
    Pass& operator=(Pass&&) = delete;

    ~Pass();

    /** @brief Nothing when admitted, or the refusal. */
    [[nodiscard]] const tl::expected<void, Error>& Result() const
    {
      return mResult;
    }

  private:
    ControlGate& mGate;
    runtime::ReplyTable<tl::expected<void, Error>>::Waiter mWaiter;
    tl::expected<void, Error> mResult;
  };

  /**
   * @brief Makes a gate.
   * @param aHost This host.
   * @param aIncarnation Counts its restarts.
   * @param aPost Puts questions into the control queue.
   */
  ControlGate(HostId aHost, Incarnation aIncarnation, Post aPost);

  /**
   * @brief Asks for a server and waits for it, the pause of a retry included.
   * @param aWanted The attempt; its ticket is filled in.
   * @return The server, or why there is no further attempt.
   */
  [[nodiscard]] tl::expected<retry::AttemptGranted, Error> Want(
    retry::AttemptRequested aWanted);

  /**
   * @brief Reports how an attempt ended.
   * @param aEnded The attempt.
   */
  void End(const retry::AttemptEnded& aEnded);

  /** @brief A name for a claim that was never used before. */
  [[nodiscard]] ledger::ClaimId NextClaim();

  /**
   * @brief Has a command replicated and waits for its outcome.
   * @param aPropose The command and how long to wait.
   * @return The outcome, or that none arrived.
   */
  [[nodiscard]] tl::expected<ledger::Outcome, ledger::CommandFailed> Run(
    const ledger::Propose& aPropose);

  /**
   * @brief Has a command replicated without waiting.
   * @param aDetached The command.
   */
  void Run(const ledger::ProposeDetached& aDetached);

  /**
   * @brief Blocks the calling thread for a time.
   * @param aWait Until when.
   */
  void Run(const ledger::Wait& aWait);

  /**
   * @brief Hands an answer to the thread that waits for it.
   * @param aAction The answer.
   */
  void Complete(const retry::Action& aAction);

  /** @copydoc Complete(const retry::Action&) */
  void Complete(const limit::Action& aAction);

  /** @copydoc Complete(const retry::Action&) */
  void Complete(const ledger::Decided& aAction);

  /** @copydoc Complete(const retry::Action&) */
  void Complete(const ledger::CommandFailed& aAction);

private:
  using Attempt = tl::expected<retry::AttemptGranted, Error>;
  using Decision = tl::expected<ledger::Outcome, ledger::CommandFailed>;

  HostId mHost;
  Incarnation mIncarnation;
  Post mPost;
  std::atomic<std::uint64_t> mLastClaim{ 0 };
  runtime::ReplyTable<Attempt> mAttempts;
  runtime::ReplyTable<tl::expected<void, Error>> mAdmissions;
  runtime::ReplyTable<Decision> mDecisions;
};

} // namespace balsampoint::traffic
