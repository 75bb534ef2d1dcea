#include "balsampoint/http/answer_sink.hpp"

#include "balsampoint/http/problem.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <sys/socket.h>

namespace balsampoint::http {

bool
HasHungUp(ServerRequest& aRequest)
{
  auto& socket =
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket();
  char byte = 0;
  const auto count =
    ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

EventSink::EventSink(ServerRequest& aRequest,
                     ServerResponse& aResponse,
                     const CompletionWriter& aWriter)
  : mRequest{ aRequest }
  , mResponse{ aResponse }
  , mWriter{ aWriter }
{
}

void
EventSink::Emit(const stream::Emit& aToken)
{
  Send(mWriter.Token(aToken.text));
}

void
EventSink::Finish(const stream::Finish& /*aFinish*/)
{
  Send(mWriter.Done());
}

void
EventSink::Fail(const Error& aError)
{
  if (mStream == nullptr) {
    SendProblem(mResponse, aError);
    return;
  }
  Send(CompletionWriter::Broken(aError));
}

bool
EventSink::CallerGone()
{
  return (mStream != nullptr && !mStream->good()) || HasHungUp(mRequest);
}

void
EventSink::Send(const std::string& aText)
{
  if (mStream == nullptr) {
    mResponse.setChunkedTransferEncoding(true);
    mResponse.setContentType("text/event-stream");
    mResponse.set("Cache-Control", "no-store");
    mStream = &mResponse.send();
  }
  *mStream << aText << std::flush;
}

DocumentSink::DocumentSink(ServerRequest& aRequest,
                           ServerResponse& aResponse,
                           const CompletionWriter& aWriter)
  : mRequest{ aRequest }
  , mResponse{ aResponse }
  , mWriter{ aWriter }
{
}

void
DocumentSink::Emit(const stream::Emit& aToken)
{
  mText += aToken.text;
  ++mTokens;
}

void
DocumentSink::Finish(const stream::Finish& /*aFinish*/)
{
  SendJson(mResponse, mWriter.Whole(mText, mTokens));
}

void
DocumentSink::Fail(const Error& aError)
{
  SendProblem(mResponse, aError);
}

bool
DocumentSink::CallerGone()
{
  return HasHungUp(mRequest);
}

} // namespace balsampoint::http
