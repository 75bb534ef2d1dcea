#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace balsampoint::http {

/** @brief A request as a handler reads it. */
using ServerRequest = Poco::Net::HTTPServerRequest;
/** @brief The answer as a handler writes it. */
using ServerResponse = Poco::Net::HTTPServerResponse;

/**
 * @brief Answers requests on many threads at once.
 * @tparam T Type to test.
 */
template<typename T>
concept RequestHandler =
  requires(T& aHandler, ServerRequest& aRequest, ServerResponse& aResponse) {
    aHandler.Handle(aRequest, aResponse);
  };

/** @brief Limits of one listener. */
struct ListenerLimits
{
  /** Connections served at once; one thread each. */
  int maxThreads{ 64 };
  /** Connections that wait for a thread. */
  int maxQueued{ 64 };
  /** How long a connection may send nothing within a request. */
  Duration idleTimeout{ std::chrono::seconds{ 30 } };
  /** How long a connection may stay open between two requests. */
  Duration keepAliveTimeout{ std::chrono::seconds{ 5 } };
};

/**
 * @brief Serves HTTP on one address until it is destroyed.
 * @tparam Handler Answers the requests.
 */
template<RequestHandler Handler>
class BasicListener
{
public:
  /**
   * @brief Listens from now on.
   * @param aAddress IP number and port.
   * @param aHandler Answers the requests; outlives the listener.
   * @param aLimits Limits on connections.
   * @return The listener, or `Internal` when the address can't be bound.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<BasicListener>, Error>
  Listen(const std::string& aAddress,
         Handler& aHandler,
         const ListenerLimits& aLimits)
  {
    try {
      return std::unique_ptr<BasicListener>{ new BasicListener{
        aAddress, aHandler, aLimits } };
    } catch (const Poco::Exception& failure) {
      return Refuse(ErrorKind::Internal,
                    aAddress + ": " + failure.displayText());
    }
  }

  BasicListener(const BasicListener&) = delete;
  BasicListener& operator=(const BasicListener&) = delete;
  BasicListener(BasicListener&&) = delete;
  BasicListener& operator=(BasicListener&&) = delete;

  /** @brief Ends all connections and waits for their threads. */
  ~BasicListener()
  {
    mServer.stopAll(true);
    mPool.joinAll();
  }

  /** @brief Accepts no further connection. */
  void StopAccepting() { mServer.stop(); }

private:
  static constexpr int kMinThreads = 2;
  static constexpr int kIdleSeconds = 60;
  static constexpr int kStackBytes = 256 * 1024;
  static constexpr int kBacklog = 1024;

  class Adapter : public Poco::Net::HTTPRequestHandler
  {
  public:
    explicit Adapter(Handler& aHandler)
      : mHandler{ aHandler }
    {
    }

    void handleRequest(ServerRequest& aRequest,
                       ServerResponse& aResponse) override
    {
      mHandler.Handle(aRequest, aResponse);
    }

  private:
    Handler& mHandler;
  };

  class Factory : public Poco::Net::HTTPRequestHandlerFactory
  {
  public:
    explicit Factory(Handler& aHandler)
      : mHandler{ aHandler }
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(
      const ServerRequest& /*aRequest*/) override
    {
      return new Adapter{ mHandler };
    }

  private:
    Handler& mHandler;
  };

  BasicListener(const std::string& aAddress,
                Handler& aHandler,
                const ListenerLimits& aLimits)
    : mPool{ kMinThreads, aLimits.maxThreads, kIdleSeconds, kStackBytes }
    , mServer{ new Factory{ aHandler },
               mPool,
               Bind(aAddress),
               Parameters(aLimits) }
  {
    mServer.start();
  }

  static Poco::Net::ServerSocket Bind(const std::string& aAddress)
  {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress{ aAddress }, true, false);
    socket.listen(kBacklog);
    return socket;
  }

  static Poco::Net::HTTPServerParams::Ptr Parameters(
    const ListenerLimits& aLimits)
  {
    const auto span = [](Duration aDuration) {
      return Poco::Timespan{
        std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count()
      };
    };
    Poco::Net::HTTPServerParams::Ptr parameters{
      new Poco::Net::HTTPServerParams
    };
    parameters->setMaxThreads(aLimits.maxThreads);
    parameters->setMaxQueued(aLimits.maxQueued);
    parameters->setTimeout(span(aLimits.idleTimeout));
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(span(aLimits.keepAliveTimeout));
    parameters->setSoftwareVersion("balsampoint");
    return parameters;
  }

  Poco::ThreadPool mPool;
  Poco::Net::HTTPServer mServer;
};

} // namespace balsampoint::http
