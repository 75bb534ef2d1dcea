#pragma once

#include "balsampoint/core/id.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace balsampoint::quarantine {

/** @brief What may be at fault when servers crash. */
enum class SuspectKind : std::uint8_t
{
  /** A whole request, whoever sends it again. */
  Request,
  /** A part of the prompts of several requests. */
  PromptPart,
};

/** @brief Identifies something under which servers may crash. */
struct SuspectId
{
  SuspectKind kind{ SuspectKind::Request };
  /** Fingerprint of the request, or id of the prompt part. */
  std::string id;

  /**
   * @brief Makes the id of a whole request.
   * @param aFingerprint Hash of what identifies equal requests.
   */
  [[nodiscard]] static SuspectId Request(std::string aFingerprint)
  {
    return { SuspectKind::Request, std::move(aFingerprint) };
  }

  /**
   * @brief Makes the id of a prompt part.
   * @param aPart The part.
   */
  [[nodiscard]] static SuspectId Part(const PromptPartId& aPart)
  {
    return { SuspectKind::PromptPart, aPart.String() };
  }

  auto operator<=>(const SuspectId&) const = default;
};

} // namespace balsampoint::quarantine
