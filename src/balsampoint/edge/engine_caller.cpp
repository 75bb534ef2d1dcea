#include "balsampoint/edge/engine_caller.hpp"

namespace balsampoint::edge {

struct EngineCaller::Pending
{
  explicit Pending(boost::asio::io_context& aContext)
    : timer{ aContext }
  {
  }

  Timer timer;
  std::shared_ptr<ServerConnection> connection;
  std::string request;
  Callback callback;
};

void
EngineCaller::Call(std::string aAddress,
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
    pending->connection = mPool.Make(address);
    pending->request = std::move(request);
    pending->callback = std::move(callback);
    Begin(pending, limit);
  });
}

void
EngineCaller::Begin(const std::shared_ptr<Pending>& aPending, Duration aLimit)
{
  mPending.insert(aPending);
  const std::weak_ptr<Pending> weak{ aPending };
  aPending->timer.Set(aLimit, [this, weak] {
    if (const auto pending = weak.lock()) {
      End(pending, std::nullopt);
    }
  });
  aPending->connection->Attach([this, weak](ServerSignal aSignal) {
    const auto pending = weak.lock();
    if (!pending || !pending->connection) {
      return;
    }
    auto& answer = pending->connection->Answer();
    if (aSignal == ServerSignal::Connected) {
      pending->connection->Send(std::move(pending->request), false);
    } else if (aSignal == ServerSignal::Lost) {
      End(pending, std::nullopt);
    } else if (answer.Complete()) {
      End(pending, EngineAnswer{ answer.Response().status, answer.TakeBody() });
    }
  });
  aPending->connection->Connect();
}

void
EngineCaller::End(const std::shared_ptr<Pending>& aPending,
                  std::optional<EngineAnswer> aAnswer)
{
  if (mPending.erase(aPending) == 0) {
    return;
  }
  aPending->timer.Clear();
  std::exchange(aPending->connection, nullptr)->Close();
  aPending->callback(std::move(aAnswer));
}

} // namespace balsampoint::edge
