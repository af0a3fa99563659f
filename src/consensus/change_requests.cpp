#include "replicated_log.hpp"

namespace tt {
namespace {
constexpr std::size_t mostWaiters = 512;
}  // namespace

void ReplicatedLog::takeChange(Effects& effects, const std::string& from, const ChangeRequest& ask) {
  auto answer = [&](Code code, const std::string& subject, const std::string& text, std::uint64_t revision = 0,
                    std::uint64_t index = 0) {
    effects.send(from, ChangeResponse{ask.askId, static_cast<int>(code), subject, text.empty() ? codeText(code) : text,
                                      revision, index, termAt(index)});
  };
  if (!election.holds(effects.now)) return answer(Code::notLeading, "accord", {});
  if (auto revision = head.takenAs(ask.changeId); revision && defences.stands(Defence::changeIdOnce)) {
    std::uint64_t index = commitIndex;
    for (const auto& entry : log)
      if (entry.changeId == ask.changeId) index = entry.index;
    if (index <= commitIndex) return answer(Code::changeTaken, {}, {}, *revision, index);
    waiters.push_back({from, ask.askId, index, *revision});
    return;
  }
  if (ask.sinceRevision > 0 && head.forgottenRevision() > static_cast<std::uint64_t>(ask.sinceRevision))
    return answer(Code::changeForgotten, "changeId", {}, head.revision());
  if (waiters.size() >= mostWaiters) return answer(Code::changesFull, "changes", {});
  if (ask.ifRevision >= 0 && static_cast<std::uint64_t>(ask.ifRevision) != head.revision())
    return answer(Code::staleRevision, "ifRevision", {}, head.revision());
  if (ask.toRevision > 0 && static_cast<std::uint64_t>(ask.toRevision) <= head.revision())
    return answer(Code::revisionOld, "revision", {}, head.revision());
  auto patch = head.preparePatch(ask.body, ask.whole ? Manner::whole : static_cast<Manner>(ask.manner));
  if (!patch) return answer(patch.error().code, patch.error().subject, patch.error().text);
  if (head.bytes() + patch.value().size() > room) return answer(Code::blueprintLarge, "body", {});
  if (bytesAfter(commitIndex) + patch.value().size() > room) return answer(Code::changesFull, "changes", {});
  std::uint64_t revision = ask.toRevision > 0   ? static_cast<std::uint64_t>(ask.toRevision)
                           : ask.toRevision < 0 ? head.revision()
                                                : 0;
  append(effects, EntryKind::change, patch.value(), ask.changeId, revision);
  waiters.push_back({from, ask.askId, logEnd(), head.revision()});
  sendAll(effects);
  advance(effects);
}

}  // namespace tt
