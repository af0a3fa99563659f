#include <algorithm>

#include "replicated_log.hpp"

namespace tt {
namespace {
constexpr std::size_t mostWaiters = 512;
constexpr std::size_t longestReason = 120;
}  // namespace

void ReplicatedLog::respond(Effects& effects, const std::string& from, const ChangeRequest& ask, Code code,
                            std::string subject) {
  effects.send(from,
               ChangeResponse{ask.requestId, static_cast<int>(code), std::move(subject), codeText(code), 0, 0, 0});
}

void ReplicatedLog::respondOnceAgreed(Effects& effects, const std::string& from, ChangeResponse response,
                                      std::uint64_t index) {
  if (index <= commitIndex) {
    response.index = commitIndex;
    response.term = termAt(commitIndex);
    effects.send(from, std::move(response));
    return;
  }
  bool waits = std::any_of(waiters.begin(), waiters.end(), [&](const Waiter& row) {
    return row.from == from && row.response.requestId == response.requestId && row.index == index;
  });
  if (!waits) waiters.push_back(Waiter{from, index, std::move(response)});
}

std::uint64_t ReplicatedLog::indexOfChange(const std::string& changeId) const {
  for (const auto& entry : log)
    if (entry.changeId == changeId) return entry.index;
  return 0;
}

bool ReplicatedLog::respondFromMemory(Effects& effects, const std::string& from, const ChangeRequest& ask) {
  ChangeResponse taken{ask.requestId, static_cast<int>(Code::changeTaken), {}, codeText(Code::changeTaken), 0, 0, 0};
  if (auto revision = head.revisionOfChange(ask.changeId); revision && defences.isEnabled(Defence::changeIdOnce)) {
    taken.revision = *revision;
    respondOnceAgreed(effects, from, taken, indexOfChange(ask.changeId));
    return true;
  }
  if (static_cast<ChangeFormat>(ask.changeFormat) == ChangeFormat::weights && head.hasWeights(ask.body)) {
    taken.revision = head.revision();
    respondOnceAgreed(effects, from, taken, logEnd());
    return true;
  }
  if (const auto* refusal = head.refusedAfter(ask.changeId, ask.seen)) {
    respondOnceAgreed(
        effects, from,
        ChangeResponse{ask.requestId, refusal->code, refusal->subject, refusal->text, refusal->revision, 0, 0},
        refusal->index);
    return true;
  }
  bool mayBeTaken = ask.toRevision > 0 && static_cast<std::uint64_t>(ask.toRevision) <= head.forgottenRevision();
  bool mayBeRefused = ask.seen < head.refusalsForgotten();
  if (mayBeTaken || mayBeRefused) respond(effects, from, ask, Code::changeUnsure, "changeId");
  return mayBeTaken || mayBeRefused;
}

Result<std::string> ReplicatedLog::judge(const ChangeRequest& ask) const {
  if (ask.sinceRevision > 0 && head.forgottenRevision() > static_cast<std::uint64_t>(ask.sinceRevision))
    return fault(Code::changeForgotten, "changeId");
  if (ask.ifRevision >= 0 && static_cast<std::uint64_t>(ask.ifRevision) != head.revision())
    return fault(Code::staleRevision, "ifRevision");
  if (ask.toRevision > 0 && static_cast<std::uint64_t>(ask.toRevision) <= head.revision())
    return fault(Code::revisionOld, "revision");
  auto patch =
      head.preparePatch(ask.body, ask.whole ? ChangeFormat::whole : static_cast<ChangeFormat>(ask.changeFormat));
  if (patch && head.bytes() + patch.value().size() > room) return fault(Code::blueprintLarge, "body");
  return patch;
}

void ReplicatedLog::refuse(Effects& effects, const std::string& from, const ChangeRequest& ask, const Error& reason) {
  std::string text = reason.text.empty() ? codeText(reason.code) : reason.text;
  Refusal refusal{ask.changeId,
                  logEnd() + 1,
                  static_cast<int>(reason.code),
                  reason.subject.substr(0, longestReason),
                  text.substr(0, longestReason),
                  head.revision()};
  append(effects, EntryKind::refusal, encodeRefusal(refusal), {});
  respondOnceAgreed(effects, from,
                    ChangeResponse{ask.requestId, refusal.code, refusal.subject, refusal.text, refusal.revision, 0, 0},
                    refusal.index);
}

void ReplicatedLog::proposeChange(Effects& effects, const std::string& from, const ChangeRequest& ask) {
  if (!election.holdsLease(effects.now)) return respond(effects, from, ask, Code::notLeading, "accord");
  if (respondFromMemory(effects, from, ask)) return;
  if (waiters.size() >= mostWaiters) return respond(effects, from, ask, Code::changesFull, "changes");
  bool weights = static_cast<ChangeFormat>(ask.changeFormat) == ChangeFormat::weights;
  if (weights && head.revision() == 0) return respond(effects, from, ask, Code::notLeading, "revision");
  auto patch = judge(ask);
  if (patch && bytesAfter(commitIndex) + patch.value().size() > room)
    return respond(effects, from, ask, Code::changesFull, "changes");
  if (patch) {
    std::uint64_t revision = ask.toRevision > 0   ? static_cast<std::uint64_t>(ask.toRevision)
                             : ask.toRevision < 0 ? head.revision()
                                                  : 0;
    append(effects, EntryKind::change, patch.value(), weights ? std::string() : ask.changeId, revision);
    respondOnceAgreed(
        effects, from,
        ChangeResponse{
            ask.requestId, static_cast<int>(Code::changeTaken), {}, codeText(Code::changeTaken), head.revision(), 0, 0},
        logEnd());
  } else {
    refuse(effects, from, ask, patch.error());
  }
  sendAll(effects);
  advance(effects);
}

}  // namespace tt
