#include "balsampoint/wire/chunk_framing.hpp"

#include "balsampoint/wire/field_syntax.hpp"
#include "balsampoint/wire/status_line.hpp"

#include <algorithm>
#include <charconv>

namespace balsampoint::wire {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxLineBytes = 8192;

} // namespace

bool
ChunkFraming::Check(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    if (mPart == Part::End) {
      return false;
    }
    if (mPart == Part::Data) {
      const auto size = std::min<std::uint64_t>(aBytes.size(), mLeft);
      aBytes.remove_prefix(size);
      mLeft -= size;
      mPart = mLeft == 0 ? Part::DataEnd : Part::Data;
      continue;
    }
    aBytes.remove_prefix(ReadLine(aBytes));
    if (!MayBeLine()) {
      return false;
    }
    if (mLine.ends_with(kLineEnd) && !FinishLine()) {
      return false;
    }
  }
  return true;
}

std::size_t
ChunkFraming::ReadLine(std::string_view aBytes)
{
  const auto end = aBytes.find('\n');
  const auto line =
    aBytes.substr(0, end == std::string_view::npos ? end : end + 1);
  mLine += line;
  return line.size();
}

bool
ChunkFraming::MayBeLine() const
{
  auto text = std::string_view{ mLine };
  if (text.ends_with(kLineEnd)) {
    text.remove_suffix(kLineEnd.size());
  } else if (text.ends_with('\r')) {
    text.remove_suffix(1);
  }
  return mLine.size() <= kMaxLineBytes && IsFieldText(text) &&
         (mPart != Part::DataEnd || text.empty());
}

bool
ChunkFraming::FinishLine()
{
  auto line = std::string_view{ mLine };
  line.remove_suffix(kLineEnd.size());
  bool valid = true;
  if (mPart == Part::Size) {
    valid = FinishSize(line);
  } else if (mPart == Part::Trailer) {
    valid = FinishTrailer(line);
  } else {
    mPart = Part::Size;
  }
  mLine.clear();
  return valid;
}

bool
ChunkFraming::FinishSize(std::string_view aLine)
{
  constexpr int kHexadecimal = 16;
  const auto* end = aLine.data() + aLine.size();
  const auto read = std::from_chars(aLine.data(), end, mLeft, kHexadecimal);
  mPart = mLeft == 0 ? Part::Trailer : Part::Data;
  return read.ec == std::errc{} &&
         (read.ptr == end || *read.ptr == ';' || *read.ptr == ' ');
}

bool
ChunkFraming::FinishTrailer(std::string_view aLine)
{
  if (aLine.empty()) {
    mPart = Part::End;
    return true;
  }
  // A trailer that breaks off is continued by the next response.
  return IsField(aLine) && FindStatusLine(aLine) == std::string_view::npos;
}

} // namespace balsampoint::wire
