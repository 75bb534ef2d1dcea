#include "balsampoint/change/command/decide.hpp"

#include "balsampoint/change/delta.hpp"

namespace balsampoint::change {

namespace {

Answer
AnswerConflict(const Table& aTable, const Change& aChange)
{
  const auto winner = aTable.winners.find(aChange.number);
  return { Outcome::Conflict,
           aChange.number,
           winner == aTable.winners.end() ? ChangeId{} : winner->second,
           aTable.number.Next() };
}

void
Accept(Table& aTable, const Change& aChange)
{
  const auto& base = aChange.whole ? Sections{} : *aTable.sections;
  aTable.sections = ApplyDelta(base, aChange.delta);
  aTable.number = aChange.number;
  aTable.winners[aChange.number] = aChange.id;
}

void
RecordAnswer(Table& aTable, const Change& aChange, const Answer& aAnswer)
{
  aTable.decided[aChange.id] = {
    aChange.number, aChange.author, aChange.digest, aAnswer
  };
  aTable.order.push_back(aChange.id);
  const auto window = aChange.numbering == Numbering::Increasing
                        ? kSupersededWindow
                        : kDecidedWindow;
  if (aTable.order.size() <= window) {
    return;
  }
  const auto oldest = aTable.decided.find(aTable.order.front());
  if (oldest->second.answer.outcome == Outcome::Accepted) {
    aTable.winners.erase(oldest->second.number);
  }
  aTable.decided.erase(oldest);
  aTable.order.pop_front();
}

/** @brief Decides a change under `Numbering::Increasing`. */
Answer
DecideIncreasing(Table& aTable, const Change& aChange)
{
  const bool higher = aChange.number > aTable.number;
  if (higher) {
    Accept(aTable, aChange);
  }
  Answer answer{ higher ? Outcome::Accepted : Outcome::Superseded,
                 aChange.number,
                 aChange.id,
                 aTable.number.Next() };
  RecordAnswer(aTable, aChange, answer);
  return answer;
}

} // namespace

Answer
Decide(Table& aTable, const Change& aChange)
{
  const auto next = aTable.number.Next();
  if (const auto known = aTable.decided.find(aChange.id);
      known != aTable.decided.end()) {
    const auto& first = known->second;
    const bool same =
      first.number == aChange.number && first.digest == aChange.digest;
    return same ? first.answer
                : Answer{ Outcome::IdReused, aChange.number, {}, next };
  }
  if (aChange.numbering == Numbering::Increasing) {
    return DecideIncreasing(aTable, aChange);
  }
  if (aChange.number > next) {
    return { Outcome::NumberSkipped, aChange.number, {}, next };
  }
  if (aChange.number < next) {
    auto answer = AnswerConflict(aTable, aChange);
    RecordAnswer(aTable, aChange, answer);
    return answer;
  }
  Accept(aTable, aChange);
  Answer answer{
    Outcome::Accepted, aChange.number, aChange.id, aTable.number.Next()
  };
  RecordAnswer(aTable, aChange, answer);
  return answer;
}

} // namespace balsampoint::change
