#pragma once

#include "balsampoint/stream/action.hpp"
#include "balsampoint/stream/event.hpp"
#include "balsampoint/stream/state.hpp"

#include <concepts>
#include <span>
#include <vector>

namespace balsampoint::traffic {

/**
 * @brief Makes calls to model engines and blocks until they end.
 * @tparam T Type to test.
 */
template<typename T>
concept EngineClient = requires(T& aClient,
                                const stream::CallStep& aStep,
                                const stream::CallReplay& aReplay,
                                const stream::CallImport& aImport,
                                const stream::CancelAt& aCancel) {
  {
    aClient.Run(aStep)
  } -> std::same_as<stream::Event>;
  {
    aClient.Run(aReplay)
  } -> std::same_as<stream::Event>;
  {
    aClient.Run(aImport)
  } -> std::same_as<stream::Event>;
  {
    aClient.Cancel(aCancel)
  } -> std::same_as<void>;
};

/**
 * @brief Takes the answer of one request towards its caller.
 * @tparam T Type to test.
 */
template<typename T>
concept AnswerSink = requires(T& aSink,
                              const stream::Emit& aToken,
                              const stream::Finish& aFinish,
                              const Error& aError) {
  {
    aSink.Emit(aToken)
  } -> std::same_as<void>;
  {
    aSink.Finish(aFinish)
  } -> std::same_as<void>;
  {
    aSink.Fail(aError)
  } -> std::same_as<void>;
  {
    aSink.CallerGone()
  } -> std::same_as<bool>;
};

/**
 * @brief Chooses servers for a range of layers, waiting where told, and tells
 * which servers of a chain are gone.
 * @tparam T Type to test.
 */
template<typename T>
concept RouteChooser = requires(T& aChooser,
                                const stream::ChooseRoute& aWanted,
                                std::span<const stream::StageState> aStages) {
  {
    aChooser.Choose(aWanted)
  } -> std::same_as<stream::RouteChosen>;
  {
    aChooser.Gone(aStages)
  } -> std::same_as<std::vector<stream::ServerGone>>;
};

} // namespace balsampoint::traffic
