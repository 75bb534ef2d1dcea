#include "engine/handler.hpp"

#include "balsampoint/http/engine_codec.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

namespace balsampoint::engine {

namespace {

using nlohmann::json;
using runtime::SteadyClock;

constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;
constexpr Duration kExportTimeout = std::chrono::seconds{ 5 };

/** @brief Counts a call as running for its scope. */
class RunningGuard
{
public:
  RunningGuard(std::mutex& aMutex, std::uint32_t& aRunning)
    : mMutex{ aMutex }
    , mRunning{ aRunning }
  {
    const std::lock_guard lock{ mMutex };
    ++mRunning;
  }

  RunningGuard(const RunningGuard&) = delete;
  RunningGuard& operator=(const RunningGuard&) = delete;
  RunningGuard(RunningGuard&&) = delete;
  RunningGuard& operator=(RunningGuard&&) = delete;

  ~RunningGuard()
  {
    const std::lock_guard lock{ mMutex };
    --mRunning;
  }

private:
  std::mutex& mMutex;
  std::uint32_t& mRunning;
};

json
EncodeKv(const RequestKv& aKv)
{
  json layers = json::array();
  for (const auto& [layer, kv] : aKv) {
    layers.push_back({ layer, kv.positions, kv.digest });
  }
  return layers;
}

RequestKv
DecodeKv(const std::string& aText)
{
  RequestKv kv;
  for (const auto& entry : json::parse(aText)) {
    kv[entry.at(0).get<std::uint32_t>()] = {
      .positions = entry.at(1).get<std::uint64_t>(),
      .digest = entry.at(2).get<std::uint64_t>()
    };
  }
  return kv;
}

/** Closes a connection without an answer. */
void
Disconnect(http::ServerRequest& aRequest)
{
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest);
  request.socket().shutdown();
}

} // namespace

Handler::Handler(Profile aProfile)
  : mProfile{ std::move(aProfile) }
  , mEngine{ mProfile.holdings }
  , mSchedule{ mProfile.times }
{
}

void
Handler::Handle(http::ServerRequest& aRequest, http::ServerResponse& aResponse)
{
  const RunningGuard running{ mMutex, mRunning };
  const auto body = http::ReadBody(aRequest, kMaxBodyBytes);
  if (!body) {
    http::SendProblem(aResponse, body.error());
    return;
  }
  const auto path = aRequest.getURI().substr(0, aRequest.getURI().find('?'));
  if (IsControl(path)) {
    Reply(aResponse, Control(aRequest, *body));
    return;
  }
  if (FaultBefore()) {
    Disconnect(aRequest);
    return;
  }
  const auto result = Run(aRequest, *body);
  {
    const std::lock_guard lock{ mMutex };
    if (mProfile.faults.dieAfter != 0 && mCalls >= mProfile.faults.dieAfter) {
      _exit(1);
    }
  }
  if (result) {
    WaitUntil(result->readyAt);
  }
  Reply(aResponse, result);
}

Report
Handler::Now() const
{
  const std::lock_guard lock{ mMutex };
  return { .running = mRunning,
           .kvTokens = mEngine.KvTokens(),
           .holdings = mEngine.Held() };
}

void
Handler::Stop()
{
  {
    const std::lock_guard lock{ mMutex };
    mStopping = true;
  }
  mStopped.notify_all();
}

Handler::Result
Handler::Run(http::ServerRequest& aRequest, const std::string& aBody)
{
  const auto& path = aRequest.getURI();
  if (!mProfile.isEngine) {
    return RunPlain(aRequest, aBody);
  }
  if (aRequest.getMethod() == "DELETE" &&
      path.starts_with(http::kRequestsPath)) {
    const std::lock_guard lock{ mMutex };
    if (!mProfile.faults.ignoreCancel) {
      mEngine.Cancel(RequestId{ path.substr(http::kRequestsPath.size()) });
    }
    return Outcome{ .body = "{}" };
  }
  return RunEngine(path, aBody);
}

Handler::Result
Handler::RunEngine(const std::string& aPath, const std::string& aBody)
{
  if (aPath == http::kStepsPath) {
    return RunStep(aBody);
  }
  if (aPath == http::kReplaysPath) {
    return RunReplay(aBody);
  }
  if (aPath == http::kImportsPath) {
    return RunImport(aBody);
  }
  if (aPath.starts_with(http::kExportsPath)) {
    return RunExport(aPath.substr(http::kExportsPath.size() + 1));
  }
  if (aPath == http::kOrdersPath) {
    return RunOrder(aBody);
  }
  return Refuse(ErrorKind::NotFound, aPath);
}

Handler::Result
Handler::RunStep(const std::string& aBody)
{
  const auto call = http::Decode<stream::StepCall>(aBody);
  if (!call) {
    return tl::unexpected(call.error());
  }
  const std::lock_guard lock{ mMutex };
  auto reply = mEngine.Step(*call);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  reply->incarnation = mProfile.incarnation;
  return Outcome{ .body = http::Encode(*reply),
                  .readyAt = mSchedule.Place(SteadyClock::Now(),
                                             call->id.layers.Size()) };
}

Handler::Result
Handler::RunReplay(const std::string& aBody)
{
  const auto call = http::Decode<stream::ReplayCall>(aBody);
  if (!call) {
    return tl::unexpected(call.error());
  }
  const std::lock_guard lock{ mMutex };
  auto reply = mEngine.Replay(*call);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  reply->incarnation = mProfile.incarnation;
  const auto readyAt = mSchedule.PlaceReplay(
    SteadyClock::Now(), call->id.layers.Size(), call->positions.size());
  return Outcome{ .body = http::Encode(*reply), .readyAt = readyAt };
}

Handler::Result
Handler::RunImport(const std::string& aBody)
{
  const auto call = http::Decode<stream::ImportCall>(aBody);
  if (!call) {
    return tl::unexpected(call.error());
  }
  const http::ClientRequest request{ .method = "GET",
                                     .path = std::string{ http::kExportsPath } +
                                             '/' +
                                             call->sourceRequest.String() };
  const auto exported = mClients.Call(call->source, request, kExportTimeout);
  if (!exported) {
    return tl::unexpected(exported.error().error);
  }
  const auto kv = DecodeKv(exported->body);
  const std::lock_guard lock{ mMutex };
  const auto imported = mEngine.Import(*call, kv);
  if (!imported) {
    return tl::unexpected(imported.error());
  }
  return Outcome{ .body = "{}" };
}

Handler::Result
Handler::RunExport(const std::string& aRequest)
{
  const std::lock_guard lock{ mMutex };
  return Outcome{ .body =
                    EncodeKv(mEngine.Export(RequestId{ aRequest })).dump() };
}

Handler::Result
Handler::RunOrder(const std::string& aBody)
{
  const auto order = json::parse(aBody, nullptr, false);
  if (!order.is_object() || !order.contains("order") ||
      !order.contains("fencing_number")) {
    return Refuse(ErrorKind::BadRequest, "no order");
  }
  const auto id = order["order"].get<std::string>();
  const auto number = order["fencing_number"].get<std::uint64_t>();
  const std::lock_guard lock{ mMutex };
  if (const auto found = mOrderResults.find(id); found != mOrderResults.end()) {
    return Outcome{ .body = found->second };
  }
  if (mProfile.checksFencing && number < mFencingNumber) {
    return Refuse(ErrorKind::Conflict, "the fencing number is old");
  }
  mFencingNumber = std::max(mFencingNumber, number);
  auto held = mEngine.Held();
  held.model = ModelId{ order.value("model", held.model.String()) };
  held.version = order.value("version", held.version);
  if (order.contains("layers")) {
    held.layers = { .begin = order["layers"].at(0).get<std::uint32_t>(),
                    .end = order["layers"].at(1).get<std::uint32_t>() };
  }
  if (order.contains("adapter")) {
    held.adapters.insert(order["adapter"].get<std::string>());
  }
  mEngine.Load(held);
  const json result{ { "order", id }, { "result", "done" } };
  mOrderResults[id] = result.dump();
  return Outcome{ .body = mOrderResults[id] };
}

Handler::Result
Handler::RunPlain(http::ServerRequest& aRequest, const std::string& aBody)
{
  const std::lock_guard lock{ mMutex };
  return Outcome{ .body = mService.Run(
                    aRequest.getMethod(), aRequest.getURI(), aBody),
                  .readyAt = SteadyClock::Now() + mProfile.serviceTime };
}

bool
Handler::IsControl(const std::string& aPath)
{
  return aPath == "/stand-in/faults" || aPath == "/stand-in/executions" ||
         aPath == "/stand-in/calls";
}

Handler::Result
Handler::Control(http::ServerRequest& aRequest, const std::string& aBody)
{
  const std::lock_guard lock{ mMutex };
  if (aRequest.getURI() == "/stand-in/executions") {
    return Outcome{ .body = mService.Executions() };
  }
  if (aRequest.getURI() == "/stand-in/calls") {
    return Outcome{ .body = json{ { "calls", mCalls } }.dump() };
  }
  const auto faults = Faults::Parse(aBody);
  if (!faults) {
    return tl::unexpected(faults.error());
  }
  mProfile.faults = *faults;
  mCalls = 0;
  return Outcome{ .body = "{}" };
}

bool
Handler::FaultBefore()
{
  Duration slow{};
  bool hangs = false;
  bool drops = false;
  {
    const std::lock_guard lock{ mMutex };
    const auto& faults = mProfile.faults;
    const auto call = ++mCalls;
    if (faults.dieAt != 0 && call >= faults.dieAt) {
      _exit(1);
    }
    hangs = faults.hangAt != 0 && call >= faults.hangAt;
    drops = faults.dropEvery != 0 && call % faults.dropEvery == 0;
    slow = faults.slow;
  }
  if (hangs) {
    Hang();
    return true;
  }
  if (slow > Duration::zero()) {
    WaitUntil(SteadyClock::Now() + slow);
  }
  return drops;
}

void
Handler::Reply(http::ServerResponse& aResponse, const Result& aResult)
{
  if (!aResult) {
    http::SendProblem(aResponse, aResult.error());
    return;
  }
  std::string body = aResult->body;
  {
    const std::lock_guard lock{ mMutex };
    const auto every = mProfile.faults.crossEvery;
    if (every != 0 && mCalls % every == 0 && !mEarlierBody.empty()) {
      body = mEarlierBody;
    }
    mEarlierBody = aResult->body;
  }
  http::SendJson(aResponse, body);
}

void
Handler::WaitUntil(Instant aTime)
{
  std::unique_lock lock{ mMutex };
  const auto wait = aTime - SteadyClock::Now();
  if (wait > Duration::zero()) {
    mStopped.wait_for(lock, wait, [this] { return mStopping; });
  }
}

void
Handler::Hang()
{
  std::unique_lock lock{ mMutex };
  mStopped.wait(lock, [this] { return mStopping; });
}

} // namespace balsampoint::engine
