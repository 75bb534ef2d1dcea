#include "balsampoint/edge/engine_control_client.hpp"

#include "balsampoint/forward/answer_check.hpp"

namespace balsampoint::edge {

namespace {

constexpr std::uint16_t kSwitchingProtocols = 101;

} // namespace

struct EngineControlClient::Pending
{
  explicit Pending(boost::asio::io_context& aContext)
    : timer{ aContext }
  {
  }

  net::Timer timer;
  std::shared_ptr<ServerConnection> connection;
  std::string request;
  Callback callback;
  std::uint32_t interimResponses{};
};

void
EngineControlClient::Call(std::string aAddress,
                          std::string aRequest,
                          Duration aLimit,
                          Callback aCallback)
{
  mLoop.Post([this,
              address = std::move(aAddress),
              request = std::move(aRequest),
              limit = aLimit,
              callback = std::move(aCallback)]() mutable {
    auto pending = std::make_shared<Pending>(mLoop.Context());
    pending->connection = mConnections.Make(address);
    pending->request = std::move(request);
    pending->callback = std::move(callback);
    Begin(pending, limit);
  });
}

void
EngineControlClient::Begin(const std::shared_ptr<Pending>& aPending,
                           Duration aLimit)
{
  mPending.insert(aPending);
  const std::weak_ptr<Pending> weak{ aPending };
  aPending->timer.Set(aLimit, [this, weak] {
    if (const auto pending = weak.lock()) {
      End(pending, std::nullopt);
    }
  });
  aPending->connection->SetObserver([this, weak](ServerSignal aSignal) {
    const auto pending = weak.lock();
    if (!pending || !pending->connection) {
      return;
    }
    auto& parser = pending->connection->ResponseParser();
    if (aSignal == ServerSignal::Connected) {
      pending->connection->Send({ .bytes = std::move(pending->request) });
    } else if (aSignal == ServerSignal::Lost) {
      End(pending, std::nullopt);
    } else if (parser.Complete()) {
      OnResponse(pending);
    }
  });
  aPending->connection->Connect();
}

void
EngineControlClient::OnResponse(const std::shared_ptr<Pending>& aPending)
{
  auto& parser = aPending->connection->ResponseParser();
  const auto& head = parser.Response();
  aPending->interimResponses += head.Interim() ? 1 : 0;
  if (!head.HasStatus() || head.status == kSwitchingProtocols ||
      aPending->interimResponses > forward::kMaxInterimAnswers) {
    End(aPending, std::nullopt);
  } else if (head.Interim()) {
    const auto connection = aPending->connection;
    connection->SkipResponse();
  } else {
    End(aPending, EngineResponse{ head.status, parser.TakeBody() });
  }
}

void
EngineControlClient::End(const std::shared_ptr<Pending>& aPending,
                         std::optional<EngineResponse> aResponse)
{
  if (mPending.erase(aPending) == 0) {
    return;
  }
  aPending->timer.Clear();
  std::exchange(aPending->connection, nullptr)->Close();
  aPending->callback(std::move(aResponse));
}

} // namespace balsampoint::edge
