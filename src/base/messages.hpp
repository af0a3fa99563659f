#pragma once
#include <boost/preprocessor/seq/for_each.hpp>
#include <boost/preprocessor/tuple/elem.hpp>

#include "base.hpp"

namespace tt {

using Strings = std::vector<std::string>;
using Hashes = std::vector<BlockHash>;
using Uint64 = std::uint64_t;

/* clang-format off */
#define TT_FIELD(r, data, pair) BOOST_PP_TUPLE_ELEM(2, 0, pair) BOOST_PP_TUPLE_ELEM(2, 1, pair){};
#define TT_STOW(r, data, pair) stow(archive, BOOST_PP_TUPLE_ELEM(2, 1, pair));
#define TT_STRUCT(Name, fields)                      \
  struct Name {                                      \
    BOOST_PP_SEQ_FOR_EACH(TT_FIELD, _, fields)       \
    template <class Archive>                         \
    void serialize(Archive& archive, unsigned) {     \
      BOOST_PP_SEQ_FOR_EACH(TT_STOW, _, fields)      \
    }                                                \
  };

template <class Archive, class T>
void stow(Archive& archive, T& value);

/// Things that messages carry.
/// An entry's revision is the one it makes; 0 is the next one.
TT_STRUCT(LogEntry, ((Uint64, index))((Uint64, term))((int, kind))((std::string, body))((std::string, changeId))((Uint64, revision)))
TT_STRUCT(Member, ((std::string, id))((std::string, name))((std::string, address))((std::string, zone))((bool, votes)))
TT_STRUCT(Machine, ((std::string, name))((std::string, address))((std::string, zone))((std::string, kind))((bool, leaving))
                   ((std::string, service))((std::string, model))((std::string, weights))((int, slots)))
/// Weights that were named for a model, how long ago in ns (-1 where that is unknown), and an index of the log by which
/// they were named.
TT_STRUCT(WeightsAnnouncement, ((std::string, model))((std::string, weights))((std::int64_t, age))((Uint64, index)))
TT_STRUCT(CellVersion, ((std::string, zone))((Uint64, term))((Uint64, sequence)))
TT_STRUCT(WorkerView,
          ((std::string, name))((std::string, address))((std::string, zone))((std::string, kind))
          ((std::string, weights))((std::string, model))((int, running))((int, slots))((bool, held))((bool, alive))
          ((bool, confirmed))((Uint64, kept))((Uint64, reportSequence))((std::string, summary))((std::string, service))((int, waiting))((int, memory))((int, savedPermille)))
TT_STRUCT(LinkSpeed, ((std::string, source))((std::string, target))((double, blocksPerSecond)))
TT_STRUCT(CacheEvent, ((Uint64, sequence))((int, kind))((Hashes, hashes)))
TT_STRUCT(Reader, ((std::string, address))((Uint64, applied))((std::int64_t, age)))
/// A change that was refused, the entry that says so, and why.
TT_STRUCT(Refusal, ((std::string, changeId))((Uint64, index))((int, code))((std::string, subject))((std::string, text))
                   ((Uint64, revision)))
TT_STRUCT(Snapshot,
          ((Uint64, index))((Uint64, term))((Uint64, revision))((std::string, configuration))((std::vector<Member>, members))
          ((Strings, changeIds))((std::vector<Uint64>, changeRevisions))((std::vector<Refusal>, refusals))
          ((Uint64, refusalsForgotten)))

/// Name, then fields. One table makes the structs, the variant and the wire form.
#define TT_MESSAGES(X)                                                                                              \
  /* duties */                                                                                                      \
  X(VoteRequest, ((std::string, duty))((Uint64, term))((std::string, candidate))((bool, probe))((Uint64, lastTerm))     \
                   ((Uint64, lastIndex)))                                                                            \
  X(VoteResponse, ((std::string, duty))((Uint64, term))((std::string, voter))((bool, probe))((bool, granted)))        \
  X(Heartbeat, ((std::string, duty))((Uint64, term))((std::string, holder))((std::int64_t, sentAt)))                   \
  X(HeartbeatResponse, ((std::string, duty))((Uint64, term))((std::string, voter))((std::int64_t, sentAt))((bool, granted))) \
  /* the agreed log */                                                                                              \
  X(AppendRequest, ((Uint64, term))((std::string, leader))((Uint64, prevIndex))((Uint64, prevTerm))((Uint64, commit))       \
                   ((std::vector<LogEntry>, entries))((Uint64, round)))                                                                 \
  X(AppendResponse, ((Uint64, term))((std::string, voter))((bool, matched))((Uint64, index))((Uint64, received))((Uint64, round))) \
  X(InstallSnapshot, ((Uint64, term))((std::string, leader))((Uint64, index))((Uint64, snapshotTerm))                  \
                         ((std::string, digest))((Uint64, total))((Uint64, offset))((std::string, bytes))((Uint64, attempt))) \
  X(HelloRequest, ((Member, self))((bool, formed)))                                                                     \
  X(HelloResponse, ((Member, self))((bool, formed))((std::vector<Member>, members)))                                   \
  X(FormRequest, ((std::vector<Member>, members)))                                                                      \
  X(JoinRequest, ((Member, self)))                                                                                      \
  X(ChangeRequest, ((std::string, requestId))((std::string, body))((bool, whole))((std::int64_t, ifRevision))               \
                   ((std::string, changeId))((std::int64_t, sinceRevision))((int, changeFormat))((std::int64_t, toRevision))((Uint64, seen)))                                        \
  X(ChangeResponse, ((std::string, requestId))((int, code))((std::string, subject))((std::string, text))((Uint64, revision))\
                     ((Uint64, index))((Uint64, term)))                                                                              \
  /* news */                                                                                                        \
  X(LogEndRequest, ((Uint64, requestId))((std::string, agent))((std::string, zone))((Uint64, applied))                      \
                 ((std::vector<CellVersion>, cells))((bool, fresh))((bool, relays))((Uint64, machineListDigest)))             \
  X(LogEndResponse, ((Uint64, requestId))((std::string, core))((Uint64, term))((bool, leads))((Uint64, lastIndex))              \
                   ((Uint64, commit))((std::vector<Member>, members))((Strings, watch))((bool, machineListKnown))          \
                   ((std::int64_t, machineListAgeNs))((Uint64, machineListDigest))((std::vector<Machine>, machines))               \
                   ((std::vector<WeightsAnnouncement>, namings)))              \
  X(ReadersRequest, ((Uint64, roundId))((Uint64, index))((Uint64, term)))                                                  \
  X(ReadersResponse, ((Uint64, roundId))((std::string, core))((bool, has))((std::vector<Reader>, readers)))             \
  X(NewsAsk, ((std::string, agent))((Uint64, applied))((std::vector<CellVersion>, cells)))                              \
  X(NewsMsg, ((Uint64, commit))((std::vector<LogEntry>, entries))((std::vector<Snapshot>, snapshots)))                    \
  X(CellNews, ((std::string, zone))((Uint64, term))((Uint64, sequence))((std::string, holder))                    \
                  ((std::vector<WorkerView>, workers))((std::vector<LinkSpeed>, links))((bool, omitsSummaries))((Uint64, base))((Strings, gone)))        \
  X(MarksMsg, ((std::int64_t, age))((std::vector<Machine>, machines)))                                              \
  X(FeedAsk, ((std::int64_t, sentAt))((Uint64, applied))((std::vector<CellVersion>, cells))((Uint64, machineListDigest)))      \
  X(FeedReply, ((std::int64_t, sentAt))((std::int64_t, age))((Uint64, needed))((bool, known))                        \
               ((std::vector<WeightsAnnouncement>, namings)))                                                            \
  /* kept blocks */                                                                                                 \
  X(LookupMsg, ((std::string, lookupId))((std::string, zone))((std::string, keeper))((std::string, weights))    \
                   ((Hashes, hashes))((std::string, replyTo)))                                                      \
  X(LookupReply, ((std::string, lookupId))((std::string, keeper))((std::vector<int>, hits))                          \
                     ((double, waitingTokens))((double, tokensPerMs))((int, pendingHits)))                                  \
  X(WatchMsg, ((std::string, moveId))((std::string, zone))((std::string, source))((std::string, target))        \
                  ((Hashes, hashes))((std::int64_t, deadlineMs))((std::string, replyTo)))                           \
  X(TransferDone, ((std::string, moveId))((bool, success)))                                                         \
  /* back ends: HTTP and JSON on real machines, these structs in sim */                                             \
  X(WorkerOrder, ((std::string, orderId))((std::string, model))((std::string, weights))((std::string, cacheSalt))   \
                     ((Strings, parts))((Hashes, hashes))((int, maxTokens))((bool, moves))((std::string, transferId))\
                     ((std::string, sourceAddress))((std::string, tenant))((bool, app))((std::string, params))       \
                     ((std::string, callerOrderId))((std::string, worker))((std::string, sinkAddress))((int, urgency)) \
                     ((std::int64_t, deadlineMs))((std::string, resumeAfter))((bool, once))((std::int64_t, sendDeadline)))                        \
  X(WorkerDrop, ((std::string, orderId)))                                                                           \
  X(WorkerLoad, ((std::string, orderId))((int, running))((int, waiting))((int, slots)))                                      \
  X(WorkerChunk, ((std::string, orderId))((std::string, text))((std::string, piece)))                                                    \
  X(WorkerEnd, ((std::string, orderId))((int, outcome))((int, code))((int, local))((int, fetched))((int, computed)))\
  X(ReportAsk, ((Uint64, after))((std::string, incarnation))((bool, whole))((int, scope))((std::string, worker)))                                        \
  X(Report, ((std::string, worker))((std::string, incarnation))((std::string, weights))((std::string, model))       \
                ((int, running))((int, slots))((Uint64, sequence))((std::vector<CacheEvent>, events))((bool, whole))  \
                ((Hashes, kept))((bool, draining))((Uint64, term))((int, scope))((bool, gaps))((bool, lost))((int, waiting))((int, memory))\
                ((bool, countsOrders))((Uint64, orders)))                                                           \
  X(ControlAsk, ((Uint64, term))((std::string, holder))((std::string, action))((std::string, model))                 \
                    ((std::string, weights))((std::string, incarnation))((std::string, worker))                     \
                    ((Uint64, number))((bool, expects))((Uint64, expected)))                                          \
  X(ControlReply, ((std::string, worker))((Uint64, term))((int, code))((Uint64, number)))                                              \
  X(PullAsk, ((std::string, pullId))((Hashes, hashes)))                                                             \
  X(PullReply, ((std::string, pullId))((Hashes, hashes))((Strings, origins)))                                       \
  X(StoreMsg, ((Hashes, hashes))((Strings, origins)))                                                               \
  X(MachinesAsk, ((std::int64_t, askedAt)))                                                                         \
  X(MachinesReply, ((std::int64_t, askedAt))((std::vector<Machine>, machines)))                                     \
  /* callers and operators */                                                                                       \
  X(CallerOrder, ((std::string, orderId))((std::string, key))((std::string, route))((std::string, model))           \
                     ((Strings, parts))((bool, repeatable))((int, maxTokens))((std::string, tenant))                \
                     ((Strings, modes))((std::string, params))                                                      \
                     ((std::string, host))((std::string, path))((std::vector<int>, partTokens))                     \
                     ((std::int64_t, deadlineMs))((std::string, resumeAfter))((int, tokensIn)))                      \
  X(CallerGone, ((std::string, orderId)))                                                                           \
  X(CallerChunk, ((std::string, orderId))((std::string, text)))                                                     \
  X(CallerVerdict, ((std::string, orderId))((std::string, verdict))((int, code))((std::string, subject))            \
                       ((std::string, text))((int, retryAfterMs))((int, tries))((int, local))((int, fetched))       \
                       ((int, computed))((std::string, worker))((bool, began)))                                    \
  X(OperatorRequest, ((std::string, requestId))((std::string, body))((bool, whole))((std::int64_t, ifRevision))             \
                     ((std::string, changeId))((std::int64_t, sinceRevision))((int, changeFormat))((std::int64_t, toRevision)))                                      \
  X(OperatorResponse, ((std::string, requestId))((int, code))((std::string, subject))((std::string, text))                 \
                       ((Uint64, revision))((Uint64, reached)))                                                       \
  X(ReadRequest, ((std::string, requestId)))                                                                            \
  X(ReadResponse, ((std::string, requestId))((bool, confirmed))((Uint64, revision))((Uint64, index))) \
  /* a snapshot's pieces */                                                                                         \
  X(InstallSnapshotResponse, ((Uint64, term))((std::string, voter))((std::string, digest))((Uint64, offset))          \
                                 ((Uint64, attempt)))                                                               \
  /* when weights were named, for who has forgotten it */                                                           \
  X(NamingsMsg, ((std::vector<WeightsAnnouncement>, namings)))                                                           \
  /* prompts placed at workers and not read yet, told to the cells of those workers */                            \
  X(PrefillStarted, ((std::string, sendId))((std::string, zone))((std::string, worker))((Hashes, hashes))       \
                        ((int, tokens)))                                                                            \
  X(PrefillEnded, ((std::string, sendId))((std::string, zone))((std::string, worker))((Hashes, hashes))         \
                      ((bool, read)))

/* clang-format on */
#define TT_MESSAGE_STRUCT(Name, fields) TT_STRUCT(Name, fields)
TT_MESSAGES(TT_MESSAGE_STRUCT)
#undef TT_MESSAGE_STRUCT

#define TT_MESSAGE_NAME(Name, fields) , Name
using Message = std::variant<std::monostate TT_MESSAGES(TT_MESSAGE_NAME)>;
#undef TT_MESSAGE_NAME

/// The name of what a message is.
const char* messageName(const Message& message);
/// Takes newer cell news in. Light ones carry no summaries, so those that were known stay. Ones with a base hold only
/// what has changed since that sequence, and are not taken by who does not have just that.
bool applyCellNews(CellNews& kept, const CellNews& news);
/// Tells one list of machines from another.
Uint64 digestOfMachineList(const std::vector<Machine>& machines);
/// A refusal as the body of the entry that agrees on it.
std::string encodeRefusal(const Refusal& refusal);
Result<Refusal> decodeRefusal(std::string_view bytes);
/// A message as one frame's bytes.
std::string encodeMessage(const Message& message);
/// A frame's bytes as a message; a malformed frame is a fault, and costs memory in step with its size only.
Result<Message> decodeMessage(std::string_view frame);
/// A snapshot as bytes, for the ring.
std::string encodeSnapshot(const Snapshot& snapshot);
Result<Snapshot> decodeSnapshot(std::string_view bytes);
std::string encodeEntry(const LogEntry& entry);
Result<LogEntry> decodeEntry(std::string_view bytes);

/// How a worker's order ended.
enum class OrderOutcome : int {
  done = 0,
  denied = 1,
  brokenBeforeSend = 2,
  broken = 3,
  failed = 4,
  silent = 5,
  /// Broken like the others, and it may have run; but only a kept connection is known to have ended, not its worker.
  forgotten = 6
};
/// What an entry in the log is.
enum class EntryKind : int { empty = 0, change = 1, members = 2, whole = 3, refusal = 4 };
/// What a report tells of: all, the kept blocks only, or the worker's condition only.
enum class ReportScope : int { all = 0, index = 1, condition = 2 };
/// What a change's body is: a patch that is merged; the whole; sections that are each made to be just this; items that
/// each replace what stood under their name; edits, which are items that say nothing of the version that they build on
/// (see resolveEdits); weights that are named by number and only rise.
enum class ChangeFormat : int { patch = 0, whole = 1, sections = 2, items = 3, edits = 4, weights = 5 };
/// What happened to kept blocks.
enum class CacheEventKind : int { stored = 0, removed = 1, cleared = 2 };

}  // namespace tt
