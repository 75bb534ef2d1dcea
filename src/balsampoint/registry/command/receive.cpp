#include "balsampoint/registry/command/receive.hpp"

#include "balsampoint/registry/internal/change.hpp"
#include "balsampoint/registry/internal/contact.hpp"
#include "balsampoint/registry/internal/entries.hpp"
#include "balsampoint/registry/internal/merge.hpp"

namespace balsampoint::registry {

namespace {

/** @brief Visitor that applies each type of message. */
struct Receipt
{
  State& state;
  const HostId& from;
  Instant now;
  std::vector<Action>& actions;

  void Answer(Message aMessage) const
  {
    actions.emplace_back(Send{ .to = from, .message = std::move(aMessage) });
  }

  [[nodiscard]] Record* Find(const ServerId& aServer) const
  {
    const auto found = state.records.find(aServer);
    return found == state.records.end() ? nullptr : &found->second;
  }

  void operator()(const Delta& aDelta) const
  {
    for (const auto& entry : aDelta.entries) {
      if (entry.announcement.zone == state.settings.zone) {
        internal::Merge(state, entry, now);
      }
    }
  }

  void operator()(const Loads& aLoads) const
  {
    for (const auto& report : aLoads.reports) {
      auto* record = Find(report.server);
      if (record == nullptr || record->claim.owner != from ||
          record->announcement.incarnation != report.incarnation) {
        continue;
      }
      record->announcement.load = report.load;
      record->reportedAt = now;
      internal::ScheduleView(state, now + state.settings.loadInterval);
    }
  }

  void operator()(const Renewals& aRenewals) const
  {
    std::vector<ServerId> unknown;
    std::vector<ServerId> moved;
    for (const auto& report : aRenewals.reports) {
      auto* record = Find(report.server);
      if (record == nullptr) {
        unknown.push_back(report.server);
        continue;
      }
      const bool leased =
        record->claim.live && record->claim.owner == state.settings.self &&
        record->announcement.incarnation == report.incarnation;
      if (!leased) {
        moved.push_back(report.server);
        continue;
      }
      record->announcement.load = report.load;
      record->reportedAt = now;
      record->expiry = now + state.settings.lease;
      internal::MarkLoad(state, report.server, now);
    }
    internal::SendEntries(from, internal::EntriesOf(state, moved), actions);
    if (!unknown.empty()) {
      Answer(Request{ .servers = std::move(unknown) });
    }
  }

  void AnswerOverdueHosts(std::span<const HostId> aHosts) const
  {
    Contacts message;
    for (const auto& host : aHosts) {
      const auto found = state.contacts.find(host);
      if (host == state.settings.self) {
        message.contacts.push_back({ .host = host });
      } else if (found != state.contacts.end()) {
        message.contacts.push_back(
          { .host = host, .age = now - found->second });
      }
    }
    if (!message.contacts.empty()) {
      Answer(std::move(message));
    }
  }

  void operator()(const Contacts& aContacts) const
  {
    for (const auto& contact : aContacts.contacts) {
      internal::RecordContact(state, contact.host, now - contact.age, now);
    }
  }

  void operator()(const Digest& aDigest) const
  {
    AnswerOverdueHosts(aDigest.overdueHosts);
    if (aDigest.hash == internal::HashOf(state)) {
      return;
    }
    Versions message;
    for (const auto& [server, record] : state.records) {
      message.versions.push_back({ .server = server, .claim = record.claim });
    }
    Answer(std::move(message));
  }

  void operator()(const Versions& aVersions) const
  {
    std::set<ServerId> newer;
    for (const auto& [server, record] : state.records) {
      newer.insert(server);
    }
    std::vector<ServerId> older;
    for (const auto& version : aVersions.versions) {
      const auto* record = Find(version.server);
      if (record == nullptr ? version.claim.live
                            : version.claim > record->claim) {
        older.push_back(version.server);
      }
      if (record != nullptr && version.claim >= record->claim) {
        newer.erase(version.server);
      }
    }
    internal::SendEntries(from, internal::EntriesOf(state, newer), actions);
    if (!older.empty()) {
      Answer(Request{ .servers = std::move(older) });
    }
  }

  void operator()(const Request& aRequest) const
  {
    internal::SendEntries(
      from, internal::EntriesOf(state, aRequest.servers), actions);
  }

  void operator()(const Summary& aSummary) const
  {
    auto& known = state.summaries[aSummary.summary.zone];
    if (aSummary.summary.number <= known.summary.number) {
      return;
    }
    known = { .summary = aSummary.summary,
              .expiry = now + state.settings.summaryLease };
    if (aSummary.summary.zone != state.settings.zone) {
      internal::ScheduleView(state, now + state.settings.loadInterval);
    }
    if (!aSummary.relay) {
      return;
    }
    for (const auto& host : state.zoneHosts) {
      actions.emplace_back(
        Send{ .to = host, .message = Summary{ .summary = aSummary.summary } });
    }
  }
};

} // namespace

void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions)
{
  internal::RecordContact(aState, aReceived.from, aNow, aNow);
  std::visit(Receipt{ aState, aReceived.from, aNow, aActions },
             aReceived.message);
}

} // namespace balsampoint::registry
