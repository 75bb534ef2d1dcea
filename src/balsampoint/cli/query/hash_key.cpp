#include "balsampoint/cli/query/hash_key.hpp"

#include "balsampoint/cli/internal/printer.hpp"
#include "balsampoint/config/query/verify_key.hpp"

#include <iostream>
#include <random>

namespace balsampoint::cli {

namespace {

constexpr std::size_t kSecretDigits = 64;
constexpr std::size_t kSaltDigits = 32;

std::string
RandomDigits(std::size_t aCount)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::random_device device;
  std::uniform_int_distribution<std::size_t> digit{ 0, kDigits.size() - 1 };
  std::string text;
  while (text.size() < aCount) {
    text += kDigits[digit(device)];
  }
  return text;
}

} // namespace

ExitCode
PrintNewKey(std::string_view aId, const Options& aOptions)
{
  if (aId.empty() || aId.find_first_of(". \t") != std::string_view::npos) {
    std::cerr << "balsampoint: a key's id is a name without dots\n";
    return ExitCode::Usage;
  }
  const auto key = std::string{ aId } + "." + RandomDigits(kSecretDigits);
  const auto hash = config::HashKey(key, RandomDigits(kSaltDigits));
  Print(std::cout,
        { { "key", key },
          { "id", hash.id },
          { "salt", hash.salt },
          { "sha256", hash.sha256 } },
        aOptions.output);
  return ExitCode::Success;
}

} // namespace balsampoint::cli
