#pragma once

#include "balsampoint/disk/log_store.hpp"

namespace balsampoint::disk {

template<typename D>
tl::expected<BasicLogStore<D>, Error>
BasicLogStore<D>::Open(D aDisk, const FolderOwner& aOwner)
{
  BasicLogStore store{ std::move(aDisk) };
  const auto text =
    aOwner.cluster.String() + "\n" + aOwner.host.String() + "\n";
  const auto bytes = std::as_bytes(std::span{ text });
  const auto found = store.mDisk.Read(internal::kOwnerName);
  if (found) {
    if (!std::ranges::equal(*found, bytes)) {
      return Refuse(ErrorKind::InvalidConfiguration,
                    "the data folder belongs to another host or cluster");
    }
    return store;
  }
  const auto names = store.mDisk.List();
  if (!names || !names->empty()) {
    return Refuse(ErrorKind::InvalidConfiguration,
                  "the data folder holds files but names no owner");
  }
  if (auto written = store.mDisk.Replace(internal::kOwnerName, bytes);
      !written) {
    return tl::unexpected(written.error());
  }
  return store;
}

template<typename D>
tl::expected<std::vector<std::string>, Error>
BasicLogStore<D>::Names(std::string_view aPrefix)
{
  return mDisk.List().map([aPrefix](std::vector<std::string> aNames) {
    std::erase_if(aNames, [aPrefix](const std::string& aName) {
      return !aName.starts_with(aPrefix);
    });
    return aNames;
  });
}

template<typename D>
tl::expected<consensus::Recovered, Error>
BasicLogStore<D>::Load()
{
  consensus::Recovered recovered;
  mSegments.clear();
  mRoll = true;
  for (const auto step : { &BasicLogStore::LoadHardState,
                           &BasicLogStore::LoadSnapshot,
                           &BasicLogStore::LoadSegments }) {
    if (auto done = (this->*step)(recovered); !done) {
      return tl::unexpected(done.error());
    }
  }
  const bool kept = recovered.snapshot || !recovered.entries.empty();
  if (!recovered.hard && kept) {
    return Refuse(ErrorKind::StorageFailed, "the term and vote are missing");
  }
  return recovered;
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::LoadHardState(consensus::Recovered& aInto)
{
  const auto bytes = mDisk.Read(internal::kHardStateName);
  if (!bytes) {
    return bytes.error().kind == ErrorKind::NotFound
             ? Result{}
             : tl::unexpected(bytes.error());
  }
  const auto record = ReadRecord(*bytes);
  if (!record) {
    return Refuse(ErrorKind::StorageFailed, "the term and vote are damaged");
  }
  return peer::DecodeHardState(*record).map(
    [&aInto](const consensus::HardState& aHard) { aInto.hard = aHard; });
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::LoadSnapshot(consensus::Recovered& aInto)
{
  const auto names = Names(internal::kSnapshotPrefix);
  if (!names || names->empty()) {
    return names ? Result{} : tl::unexpected(names.error());
  }
  const auto bytes = mDisk.Read(names->back());
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  const auto record = ReadRecord(*bytes);
  if (!record) {
    return Refuse(ErrorKind::StorageFailed, names->back() + " is damaged");
  }
  return peer::DecodeSnapshot(*record).map(
    [&aInto](consensus::Snapshot aSnapshot) {
      aInto.snapshot = std::move(aSnapshot);
    });
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::LoadSegments(consensus::Recovered& aInto)
{
  const auto names = Names(internal::kSegmentPrefix);
  if (!names) {
    return tl::unexpected(names.error());
  }
  for (const auto& name : *names) {
    auto done = LoadSegment(name, name == names->back(), aInto);
    if (!done) {
      return done;
    }
  }
  return {};
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::LoadSegment(const std::string& aName,
                              bool aLast,
                              consensus::Recovered& aInto)
{
  auto read = ReadSegment(aName, aInto);
  if (!read) {
    return tl::unexpected(read.error());
  }
  auto& segment = read->segment;
  if (IsDamaged(*read, aLast)) {
    return Refuse(ErrorKind::StorageFailed,
                  segment.name + " is damaged at byte " +
                    std::to_string(segment.size));
  }
  auto done = CutTail(*read);
  if (done && !segment.offsets.empty()) {
    mSegments[segment.first] = std::move(segment);
  }
  return done;
}

template<typename D>
tl::expected<typename BasicLogStore<D>::ReadBack, Error>
BasicLogStore<D>::ReadSegment(const std::string& aName,
                              consensus::Recovered& aInto)
{
  auto bytes = mDisk.Read(aName);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  internal::Segment segment{ .name = aName };
  const ByteView all{ *bytes };
  while (true) {
    const auto record = ReadRecord(all.subspan(segment.size));
    if (!record.has_value()) {
      break;
    }
    if (record->empty()) {
      segment.size += kRecordHeaderBytes;
      continue;
    }
    auto entry = peer::DecodeEntry(record.value());
    if (!entry) {
      break;
    }
    if (segment.offsets.empty()) {
      segment.first = entry->index;
    }
    segment.offsets.push_back(segment.size);
    segment.size += kRecordHeaderBytes + record->size();
    const auto covered =
      aInto.snapshot ? aInto.snapshot->index : consensus::Index{};
    if (entry->index > covered) {
      aInto.entries.push_back(std::move(*entry));
    }
  }
  return ReadBack{ std::move(segment), std::move(*bytes) };
}

template<typename D>
bool
BasicLogStore<D>::IsDamaged(const ReadBack& aRead, bool aLast)
{
  const auto end = aRead.segment.size;
  if (end == aRead.bytes.size()) {
    return false;
  }
  // Nothing but a marker may be unfinished where another segment follows.
  return aLast ? WasDurable(aRead.bytes, end)
               : aRead.bytes.size() - end > kRecordHeaderBytes;
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::CutTail(const ReadBack& aRead)
{
  const auto& segment = aRead.segment;
  if (segment.offsets.empty()) {
    return mDisk.Remove(segment.name);
  }
  if (segment.size == aRead.bytes.size()) {
    return {};
  }
  return mDisk.Truncate(segment.name, segment.size).and_then([&] {
    return mDisk.Sync(segment.name);
  });
}

template<typename D>
bool
BasicLogStore<D>::WasDurable(ByteView aBytes, std::uint64_t aOffset)
{
  const auto first = ReadRecord(aBytes);
  const bool hasMarkers = !first || first->empty();
  auto rest = aBytes.subspan(aOffset + 1);
  while (true) {
    const auto found = FindRecord(rest);
    if (!found.has_value()) {
      return false;
    }
    rest = rest.subspan(found.value());
    const auto record = ReadRecord(rest);
    if (!record.has_value() || record->empty() || !hasMarkers) {
      return true;
    }
    rest = rest.subspan(kRecordHeaderBytes + record->size());
  }
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::Write(const consensus::Persist& aWrite)
{
  if (mFailed && !aWrite.resume) {
    return Refuse(ErrorKind::StorageFailed, "an earlier write failed");
  }
  auto done = WriteParts(aWrite);
  mFailed = !done;
  return done;
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::WriteParts(const consensus::Persist& aWrite)
{
  if (aWrite.resume) {
    if (auto cut = CutUnfinished(); !cut) {
      return cut;
    }
  }
  if (aWrite.hard) {
    if (auto done = WriteHardState(*aWrite.hard); !done) {
      return done;
    }
  }
  if (aWrite.truncate) {
    if (auto done = TruncateFrom(aWrite.truncateFrom); !done) {
      return done;
    }
  }
  if (aWrite.snapshot) {
    if (auto done = WriteSnapshot(*aWrite.snapshot); !done) {
      return done;
    }
  }
  return AppendEntries(aWrite.entries);
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::CutUnfinished()
{
  // The write may have failed after a removal, before its sync.
  const auto names = Names(internal::kSegmentPrefix);
  if (!names) {
    return tl::unexpected(names.error());
  }
  std::erase_if(mSegments, [&names](const auto& aEntry) {
    return !std::ranges::binary_search(*names, aEntry.second.name);
  });
  mRoll = true;
  if (mSegments.empty()) {
    return {};
  }
  const auto& last = mSegments.rbegin()->second;
  if (!last.offsets.empty()) {
    return mDisk.Truncate(last.name, last.size).and_then([&] {
      return mDisk.Sync(last.name);
    });
  }
  const auto name = last.name;
  mSegments.erase(std::prev(mSegments.end()));
  return mDisk.Remove(name);
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::WriteHardState(const consensus::HardState& aHard)
{
  ByteVector bytes;
  AppendRecord(bytes, peer::Encode(aHard));
  return mDisk.Replace(internal::kHardStateName, bytes);
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::WriteSnapshot(const consensus::Snapshot& aSnapshot)
{
  const auto older = Names(internal::kSnapshotPrefix);
  if (!older) {
    return tl::unexpected(older.error());
  }
  const auto name =
    internal::NameOf(internal::kSnapshotPrefix, aSnapshot.index);
  ByteVector bytes;
  AppendRecord(bytes, peer::Encode(aSnapshot));
  if (auto done = mDisk.Replace(name, bytes); !done) {
    return done;
  }
  for (const auto& old : *older) {
    if (old == name) {
      continue;
    }
    if (auto done = mDisk.Remove(old); !done) {
      return done;
    }
  }
  return DropCovered(aSnapshot.index);
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::DropCovered(consensus::Index aIndex)
{
  mRoll = true;
  while (!mSegments.empty() &&
         mSegments.begin()->second.End() <= aIndex.Next()) {
    if (auto done = mDisk.Remove(mSegments.begin()->second.name); !done) {
      return done;
    }
    mSegments.erase(mSegments.begin());
  }
  return {};
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::TruncateFrom(consensus::Index aFrom)
{
  while (!mSegments.empty()) {
    auto& segment = mSegments.rbegin()->second;
    if (segment.End() <= aFrom) {
      return {};
    }
    if (segment.first >= aFrom) {
      if (auto done = mDisk.Remove(segment.name); !done) {
        return done;
      }
      mSegments.erase(std::prev(mSegments.end()));
      mRoll = true;
      continue;
    }
    const auto kept = aFrom.Value() - segment.first.Value();
    segment.size = segment.offsets[kept];
    segment.offsets.resize(kept);
    return mDisk.Truncate(segment.name, segment.size).and_then([&] {
      return mDisk.Sync(segment.name);
    });
  }
  return {};
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::AppendEntries(std::span<const consensus::Entry> aEntries)
{
  if (aEntries.empty()) {
    return {};
  }
  const auto first = aEntries.front().index;
  if (mRoll || mSegments.empty() ||
      mSegments.rbegin()->second.size >= internal::kSegmentBytes) {
    const auto name = internal::NameOf(internal::kSegmentPrefix, first);
    if (auto done = mDisk.Remove(name); !done) {
      return done;
    }
    mSegments[first] = { .name = name, .first = first };
    mRoll = false;
  }
  auto& segment = mSegments.rbegin()->second;
  ByteVector bytes;
  if (segment.size == 0) {
    AppendRecord(bytes, {});
  }
  std::vector<std::uint64_t> offsets;
  for (const auto& entry : aEntries) {
    offsets.push_back(segment.size + bytes.size());
    AppendRecord(bytes, peer::Encode(entry));
  }
  auto done = mDisk.Append(segment.name, bytes).and_then([&] {
    return mDisk.Sync(segment.name);
  });
  if (!done) {
    return done;
  }
  segment.size += bytes.size();
  segment.offsets.insert(segment.offsets.end(), offsets.begin(), offsets.end());
  return MarkDurable(segment);
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::MarkDurable(internal::Segment& aSegment)
{
  ByteVector marker;
  AppendRecord(marker, {});
  auto done = mDisk.Append(aSegment.name, marker);
  if (done) {
    aSegment.size += marker.size();
  }
  return done;
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::Repair()
{
  consensus::Recovered found;
  const bool knowsVote = LoadHardState(found).has_value() && found.hard;
  auto hard = knowsVote ? *found.hard : consensus::HardState{};
  hard.recovering = true;
  if (auto done = WriteHardState(hard); !done) {
    return done;
  }
  auto snapshots = Names(internal::kSnapshotPrefix);
  auto segments = Names(internal::kSegmentPrefix);
  if (!snapshots || !segments) {
    return Refuse(ErrorKind::StorageFailed, "can't list the data folder");
  }
  if (!LoadSnapshot(found)) {
    snapshots->insert(snapshots->end(), segments->begin(), segments->end());
    return RemoveFrom(*snapshots);
  }
  for (auto name = segments->begin(); name != segments->end(); ++name) {
    const auto read = ReadSegment(*name, found);
    const auto next = std::next(name);
    if (!read) {
      return RemoveFrom({ name, segments->end() });
    }
    if (!IsDamaged(*read, next == segments->end())) {
      continue;
    }
    return RemoveFrom({ next, segments->end() }).and_then([&] {
      return CutTail(*read);
    });
  }
  return {};
}

template<typename D>
typename BasicLogStore<D>::Result
BasicLogStore<D>::RemoveFrom(std::span<const std::string> aNames)
{
  for (const auto& name : aNames) {
    if (auto done = mDisk.Remove(name); !done) {
      return done;
    }
  }
  return {};
}

} // namespace balsampoint::disk
