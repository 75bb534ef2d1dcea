#pragma once

#include "balsampoint/memory/command/record_holder.hpp"
#include "balsampoint/memory/state.hpp"
#include "balsampoint/net/loop.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace balsampoint::edge {

/** @brief What a connection does when the account decides about it. */
struct MemoryCallbacks
{
  /** Reads again after a pause. */
  std::function<void()> resume;
  /** Releases its bytes as it is told. */
  std::function<void(memory::Relief)> release;
};

/**
 * @brief Account of the bytes that all connections of one thread hold; drives
 * the decisions of `memory`.
 */
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount>
{
public:
  /** @brief Callback for a holder that must release its bytes. */
  using Observer = std::function<void(const memory::Action&)>;

  /**
   * @brief Makes an account without holders.
   * @param aContext I/O context of the thread's loop.
   * @param aSettings Settings of the decisions.
   * @param aSocketBytes Size of a socket's receive buffer, and of its send
   * buffer.
   * @return The account. Connections may outlive it.
   */
  [[nodiscard]] static std::shared_ptr<MemoryAccount> Make(
    boost::asio::io_context& aContext,
    memory::Settings aSettings,
    std::size_t aSocketBytes)
  {
    return std::shared_ptr<MemoryAccount>{ new MemoryAccount{
      aContext, aSettings, aSocketBytes } };
  }

  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;
  MemoryAccount(MemoryAccount&&) = delete;
  MemoryAccount& operator=(MemoryAccount&&) = delete;
  ~MemoryAccount() = default;

  /** @brief Sets the observer; there is none by default. */
  void SetObserver(Observer aObserver) { mObserver = std::move(aObserver); }

  /**
   * @brief Adds a connection.
   * @param aCallbacks Called on the thread, not from within a call of the
   * account.
   * @return Its id.
   */
  [[nodiscard]] memory::HolderId Add(MemoryCallbacks aCallbacks);

  /** @brief Removes a connection. */
  void Remove(memory::HolderId aId);

  /**
   * @brief Records what a connection holds.
   * @param aId Id of the connection.
   * @param aReport What it holds.
   */
  void Record(memory::HolderId aId, const memory::Report& aReport);

  /**
   * @brief Whether a connection may be read; if not, it is resumed later.
   * @param aId Id of the connection.
   */
  [[nodiscard]] bool MayRead(memory::HolderId aId);

  /** @brief Whether a connection is not read for now. */
  [[nodiscard]] bool IsPaused(memory::HolderId aId) const
  {
    const auto found = mState.holders.find(aId);
    return found != mState.holders.end() && found->second.paused;
  }

  /** @brief Bytes that all connections hold. */
  [[nodiscard]] std::uint64_t HeldBytes() const noexcept
  {
    return mState.heldBytes;
  }

  /** @brief Number of connections that are not read for now. */
  [[nodiscard]] std::size_t PausedCount() const;

  /** @brief Size of a socket's receive buffer, and of its send buffer. */
  [[nodiscard]] std::size_t SocketBytes() const noexcept
  {
    return mSocketBytes;
  }

  /** @brief Most bytes of a small holder. */
  [[nodiscard]] std::size_t SmallBytes() const noexcept
  {
    return mState.settings.smallBytes;
  }

private:
  MemoryAccount(boost::asio::io_context& aContext,
                memory::Settings aSettings,
                std::size_t aSocketBytes);
  void ScheduleIfNeeded();
  void Act();
  void Resume();

  memory::State mState;
  std::map<memory::HolderId, MemoryCallbacks> mCallbacks;
  Observer mObserver;
  net::Timer mTimer;
  std::size_t mSocketBytes;
  bool mScheduled{ false };
  /** Whether the next check is due at once. */
  bool mUrgent{ false };
};

/** @brief The entry of one connection in an account; does nothing without an
 * account. */
class MemoryShare
{
public:
  MemoryShare() = default;

  /**
   * @brief Adds a connection to an account.
   * @param aAccount The account; null for none.
   * @param aCallbacks What the connection does on decisions.
   */
  MemoryShare(MemoryAccount* aAccount, MemoryCallbacks aCallbacks)
  {
    if (aAccount != nullptr) {
      mAccount = aAccount->weak_from_this();
      mId = aAccount->Add(std::move(aCallbacks));
    }
  }

  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;
  MemoryShare(MemoryShare&& aOther) noexcept = default;

  MemoryShare& operator=(MemoryShare&& aOther) noexcept
  {
    std::swap(mAccount, aOther.mAccount);
    std::swap(mId, aOther.mId);
    return *this;
  }

  ~MemoryShare() { Release(); }

  /** @brief Removes the connection from the account. */
  void Release()
  {
    if (const auto account = std::exchange(mAccount, {}).lock()) {
      account->Remove(mId);
    }
  }

  /** @brief Records what the connection holds. */
  void Record(const memory::Report& aReport)
  {
    if (const auto account = mAccount.lock()) {
      account->Record(mId, aReport);
    }
  }

  /** @brief Whether the connection may be read. */
  [[nodiscard]] bool MayRead()
  {
    const auto account = mAccount.lock();
    return !account || account->MayRead(mId);
  }

  /** @brief Whether the connection is not read for now. */
  [[nodiscard]] bool IsPaused() const
  {
    const auto account = mAccount.lock();
    return account && account->IsPaused(mId);
  }

  /** @brief Bytes that the kernel may hold while the connection isn't read. */
  [[nodiscard]] std::size_t UnreadBytes() const
  {
    const auto account = mAccount.lock();
    return account && account->IsPaused(mId) ? account->SocketBytes() : 0;
  }

private:
  std::weak_ptr<MemoryAccount> mAccount;
  memory::HolderId mId{};
};

} // namespace balsampoint::edge
