#include <algorithm>

#include "replicated_log.hpp"

namespace tt {
namespace {
/// The number of responses that may wait for their entries; more changes are rejected as overload.
constexpr std::size_t maxPendingResponses = 512;
/// Limit of the subject and of the text of a refusal in the log, in bytes.
constexpr std::size_t maxReasonBytes = 120;
}  // namespace

void ReplicatedLog::respond(Effects& effects, const std::string& from, const ChangeRequest& request, Code code,
                            std::string subject) {
  effects.send(from,
               ChangeResponse{request.requestId, static_cast<int>(code), std::move(subject), codeText(code), 0, 0, 0});
}

void ReplicatedLog::respondOnceCommitted(Effects& effects, const std::string& from, ChangeResponse response,
                                         std::uint64_t index) {
  if (index <= commitIndex) {
    response.index = commitIndex;
    response.term = termAt(commitIndex);
    effects.send(from, std::move(response));
    return;
  }
  bool alreadyWaiting = std::any_of(pendingResponses.begin(), pendingResponses.end(), [&](const PendingResponse& row) {
    return row.from == from && row.response.requestId == response.requestId && row.index == index;
  });
  if (!alreadyWaiting) pendingResponses.push_back(PendingResponse{from, index, std::move(response)});
}

std::uint64_t ReplicatedLog::indexOfChange(const std::string& changeId) const {
  for (const auto& entry : log)
    if (entry.changeId == changeId) return entry.index;
  return 0;
}

bool ReplicatedLog::respondIfKnown(Effects& effects, const std::string& from, const ChangeRequest& request) {
  ChangeResponse accepted{
      request.requestId, static_cast<int>(Code::changeTaken), {}, codeText(Code::changeTaken), 0, 0, 0};
  if (auto revision = head.revisionOfChange(request.changeId); revision && defences.isEnabled(Defence::changeIdOnce)) {
    accepted.revision = *revision;
    respondOnceCommitted(effects, from, accepted, indexOfChange(request.changeId));
    return true;
  }
  if (static_cast<ChangeFormat>(request.changeFormat) == ChangeFormat::weights && head.hasWeights(request.body)) {
    accepted.revision = head.revision();
    respondOnceCommitted(effects, from, accepted, logEnd());
    return true;
  }
  if (const auto* refusal = head.findRefusalAfter(request.changeId, request.appliedAtRequest)) {
    respondOnceCommitted(
        effects, from,
        ChangeResponse{request.requestId, refusal->code, refusal->subject, refusal->text, refusal->revision, 0, 0},
        refusal->index);
    return true;
  }
  bool mayBeAccepted =
      request.toRevision > 0 && static_cast<std::uint64_t>(request.toRevision) <= head.lastEvictedRevision();
  bool mayBeRefused = request.appliedAtRequest < head.lastEvictedRefusal();
  if (mayBeAccepted || mayBeRefused) respond(effects, from, request, Code::changeUnsure, "changeId");
  return mayBeAccepted || mayBeRefused;
}

Result<std::string> ReplicatedLog::validateChange(const ChangeRequest& request) const {
  if (request.sinceRevision > 0 && head.lastEvictedRevision() > static_cast<std::uint64_t>(request.sinceRevision))
    return makeError(Code::changeForgotten, "changeId");
  if (request.ifRevision >= 0 && static_cast<std::uint64_t>(request.ifRevision) != head.revision())
    return makeError(Code::staleRevision, "ifRevision");
  if (request.toRevision > 0 && static_cast<std::uint64_t>(request.toRevision) <= head.revision())
    return makeError(Code::revisionOld, "revision");
  auto patch = head.preparePatch(
      request.body, request.complete ? ChangeFormat::complete : static_cast<ChangeFormat>(request.changeFormat));
  if (patch && head.bytes() + patch.value().size() > capacityBytes) return makeError(Code::blueprintLarge, "body");
  return patch;
}

void ReplicatedLog::refuse(Effects& effects, const std::string& from, const ChangeRequest& request,
                           const Error& reason) {
  std::string text = reason.text.empty() ? codeText(reason.code) : reason.text;
  Refusal refusal{request.changeId,
                  logEnd() + 1,
                  static_cast<int>(reason.code),
                  reason.subject.substr(0, maxReasonBytes),
                  text.substr(0, maxReasonBytes),
                  head.revision()};
  append(effects, EntryKind::refusal, encodeRefusal(refusal), {});
  respondOnceCommitted(
      effects, from,
      ChangeResponse{request.requestId, refusal.code, refusal.subject, refusal.text, refusal.revision, 0, 0},
      refusal.index);
}

void ReplicatedLog::proposeChange(Effects& effects, const std::string& from, const ChangeRequest& request) {
  if (!election.holdsLease(effects.now)) return respond(effects, from, request, Code::notLeading, "accord");
  if (respondIfKnown(effects, from, request)) return;
  if (pendingResponses.size() >= maxPendingResponses)
    return respond(effects, from, request, Code::changesFull, "changes");
  bool weights = static_cast<ChangeFormat>(request.changeFormat) == ChangeFormat::weights;
  if (weights && head.revision() == 0) return respond(effects, from, request, Code::notLeading, "revision");
  auto patch = validateChange(request);
  if (patch && bytesAfter(commitIndex) + patch.value().size() > capacityBytes)
    return respond(effects, from, request, Code::changesFull, "changes");
  if (patch) {
    std::uint64_t revision = request.toRevision > 0   ? static_cast<std::uint64_t>(request.toRevision)
                             : request.toRevision < 0 ? head.revision()
                                                      : 0;
    append(effects, EntryKind::change, patch.value(), weights ? std::string() : request.changeId, revision);
    respondOnceCommitted(effects, from,
                         ChangeResponse{request.requestId,
                                        static_cast<int>(Code::changeTaken),
                                        {},
                                        codeText(Code::changeTaken),
                                        head.revision(),
                                        0,
                                        0},
                         logEnd());
  } else {
    refuse(effects, from, request, patch.error());
  }
  sendToAll(effects);
  advanceCommit(effects);
}

}  // namespace tt
