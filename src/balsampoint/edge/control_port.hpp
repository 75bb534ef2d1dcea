#pragma once

#include "balsampoint/edge/acceptor.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/response.hpp"
#include "balsampoint/routing/table.hpp"
#include "balsampoint/trace/event.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace balsampoint::edge {

/** @brief A valid configuration in the text that an operator sent. */
struct SubmittedConfiguration
{
  ChangeNumber number;
  std::string text;
};

/** @brief Refers a read of the configuration to another host. */
struct Redirect
{
  /** IP address and port of its control listener; empty if it is unknown. */
  std::string address;
};

/** @brief Text of the configuration in force, or the host to read it from. */
using ReadResult = std::variant<std::string, Redirect>;

/** @brief Operations of the host that the control port calls. */
struct ControlOperations
{
  /** Submits a configuration change; calls back, on any thread, once it is
   * decided. */
  std::function<void(SubmittedConfiguration,
                     std::function<void(tl::expected<void, Error>)>)>
    submit;
  /** Reads the configuration in force; calls back on any thread. */
  std::function<void(std::function<void(ReadResult)>)> read;
  /** Records a server's heartbeat; calls back, on any thread, once it may be
   * acknowledged. */
  std::function<void(roster::Claim,
                     std::function<void(tl::expected<void, Error>)>)>
    heartbeat;
  /** Records a server's sign-off; calls back, on any thread, once it may be
   * acknowledged. */
  std::function<void(ServerId,
                     std::optional<Incarnation>,
                     std::function<void(tl::expected<void, Error>)>)>
    signOff;
};

/**
 * @brief Serves the calls of operators and servers on one address.
 * @tparam D Encoding of requests and responses.
 */
template<Dialect D>
class BasicControlPort
{
public:
  using Acceptor = BasicAcceptor<BasicControlPort>;
  using Caller = typename Acceptor::Connection;
  using Pointer = std::shared_ptr<Caller>;

  /**
   * @brief Makes a port that does not listen yet.
   * @param aLoop Loop of the traffic thread; outlives the port.
   * @param aOperations Operations that carry out the calls.
   * @param aMaxConnections Maximum number of open connections.
   * @param aLimits Limits of each connection.
   */
  BasicControlPort(net::Loop& aLoop,
                   ControlOperations aOperations,
                   std::size_t aMaxConnections,
                   CallerConnectionLimits aLimits = {})
    : mLoop{ aLoop }
    , mOperations{ std::move(aOperations) }
    , mLimits{ aLimits }
    , mAcceptor{ *this, aLoop.Context(), aMaxConnections }
  {
  }

  /**
   * @brief Binds the address and starts to accept connections.
   * @param aAddress IP address and port.
   */
  tl::expected<void, Error> Listen(const std::string& aAddress)
  {
    return mAcceptor.Listen(aAddress);
  }

  /** @brief Acceptor of the connections. */
  [[nodiscard]] Acceptor& Connections() noexcept { return mAcceptor; }

  /** @brief Closes each connection after its next response from now on. */
  void Drain() { mDraining = true; }

  void OnRequest(const Pointer& aCaller, IncomingRequest aRequest)
  {
    const auto call = D::ReadControlCall(aRequest.head);
    if (!call) {
      Refuse(aCaller, call.error());
      return;
    }
    std::visit(
      [&](const auto& aCall) {
        Handle(aCall, aCaller, std::move(aRequest.body));
      },
      *call);
  }

  void OnCallerDisconnected(const Pointer& /*aCaller*/) {}

  void OnInvalidRequest(const Pointer& aCaller, const Error& aError)
  {
    aCaller->Send(D::WriteRefusal(aError, false));
    aCaller->Finish(false);
  }

  [[nodiscard]] const CallerConnectionLimits& Limits() const noexcept
  {
    return mLimits;
  }

private:
  void Handle(const PutConfiguration& /*aCall*/,
              const Pointer& aCaller,
              std::string aBody)
  {
    auto document = D::ReadConfiguration(aBody);
    if (!document) {
      Refuse(aCaller, document.error());
      return;
    }
    const auto number = document->number;
    const auto table = routing::Table::Make(std::move(*document));
    if (!table) {
      trace::Event{ "configuration_refused" }
        .With("number", number.Value())
        .With("reason", table.error().detail);
      Refuse(aCaller, table.error());
      return;
    }
    mOperations.submit(
      { number, std::move(aBody) },
      [this, number, caller = std::weak_ptr{ aCaller }](
        tl::expected<void, Error> aResult) {
        mLoop.Post([this, number, caller, result = std::move(aResult)] {
          trace::Event{ "configuration_answered" }
            .With("number", number.Value())
            .With("result",
                  result ? "accepted" : AnswerFor(result.error().kind).name);
          if (const auto alive = caller.lock()) {
            result ? Answer(alive, {}) : Refuse(alive, result.error());
          }
        });
      });
  }

  void Handle(const GetConfiguration& /*aCall*/,
              const Pointer& aCaller,
              const std::string& /*aBody*/)
  {
    mOperations.read(
      [this, caller = std::weak_ptr{ aCaller }](ReadResult aResult) {
        mLoop.Post([this, caller, result = std::move(aResult)] {
          if (const auto alive = caller.lock()) {
            AnswerRead(alive, result);
          }
        });
      });
  }

  void AnswerRead(const Pointer& aCaller, const ReadResult& aResult)
  {
    if (const auto* text = std::get_if<std::string>(&aResult)) {
      Answer(aCaller, *text);
      return;
    }
    const auto& address = std::get<Redirect>(aResult).address;
    if (address.empty()) {
      Refuse(aCaller,
             MakeError(ErrorKind::ControlUnavailable,
                       "this host does not know the newest configuration"));
      return;
    }
    aCaller->Send(D::WriteRedirect(address, KeepAlive()));
    aCaller->Finish(KeepAlive());
  }

  void Handle(const ServerHeartbeat& aCall,
              const Pointer& aCaller,
              const std::string& aBody)
  {
    auto claim = D::ReadHeartbeat(aCall.server.Value(), aBody);
    if (!claim) {
      trace::Event{ "heartbeat_unreadable" }
        .With("server", aCall.server)
        .With("reason", claim.error().detail);
      Refuse(aCaller, claim.error());
      return;
    }
    mOperations.heartbeat(std::move(*claim), AnswerTo(aCaller));
  }

  void Handle(const ServerSignOff& aCall,
              const Pointer& aCaller,
              const std::string& aBody)
  {
    mOperations.signOff(
      aCall.server, D::ReadIncarnation(aBody), AnswerTo(aCaller));
  }

  /** @brief Callback that acknowledges or refuses a server's call. */
  std::function<void(tl::expected<void, Error>)> AnswerTo(
    const Pointer& aCaller)
  {
    return [this, caller = std::weak_ptr{ aCaller }](
             tl::expected<void, Error> aResult) {
      mLoop.Post([this, caller, result = std::move(aResult)] {
        if (const auto alive = caller.lock()) {
          result ? Answer(alive, "{}") : Refuse(alive, result.error());
        }
      });
    };
  }

  void Answer(const Pointer& aCaller, std::string_view aBody)
  {
    constexpr std::uint16_t kOk = 200;
    aCaller->Send(MakeResponse(kOk, {}, aBody, KeepAlive()));
    aCaller->Finish(KeepAlive());
  }

  void Refuse(const Pointer& aCaller, const Error& aError)
  {
    aCaller->Send(D::WriteRefusal(aError, KeepAlive()));
    aCaller->Finish(KeepAlive());
  }

  [[nodiscard]] bool KeepAlive() const { return !mDraining; }

  net::Loop& mLoop;
  ControlOperations mOperations;
  CallerConnectionLimits mLimits;
  bool mDraining{ false };
  Acceptor mAcceptor;
};

} // namespace balsampoint::edge
