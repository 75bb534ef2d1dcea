#include "balsampoint/reach/query/choose_references.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace balsampoint::reach {

namespace {

using Addresses = std::vector<std::string>;

std::string
TakeAny(Addresses& aFrom, SplitMix64& aRandom)
{
  std::swap(aFrom[aRandom.Next() % aFrom.size()], aFrom.back());
  auto taken = std::move(aFrom.back());
  aFrom.pop_back();
  return taken;
}

} // namespace

std::vector<std::string>
ChooseReferences(std::span<const roster::Server> aServers,
                 std::size_t aCount,
                 SplitMix64& aRandom)
{
  std::map<ServiceId, Addresses> byService;
  for (const auto& server : aServers) {
    if (server.TakesWork()) {
      const auto& description = server.claim.description;
      byService[description.service].push_back(description.address);
    }
  }
  std::vector<Addresses*> services;
  services.reserve(byService.size());
  for (auto& [service, addresses] : byService) {
    services.push_back(&addresses);
  }
  Addresses references;
  Addresses others;
  while (!services.empty() && references.size() < aCount) {
    std::swap(services[aRandom.Next() % services.size()], services.back());
    references.push_back(TakeAny(*services.back(), aRandom));
    services.pop_back();
  }
  for (auto& [service, addresses] : byService) {
    std::ranges::move(addresses, std::back_inserter(others));
  }
  while (!others.empty() && references.size() < aCount) {
    references.push_back(TakeAny(others, aRandom));
  }
  return references;
}

} // namespace balsampoint::reach
