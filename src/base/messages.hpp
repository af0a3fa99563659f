#pragma once
#include <boost/preprocessor/seq/for_each.hpp>
#include <boost/preprocessor/tuple/elem.hpp>

#include "base.hpp"

namespace tt {

using Strings = std::vector<std::string>;
using Hashes = std::vector<BlockHash>;
using Count = std::uint64_t;

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
TT_STRUCT(Entry, ((Count, index))((Count, term))((int, kind))((std::string, body))((std::string, changeId))((Count, revision)))
TT_STRUCT(Member, ((std::string, id))((std::string, name))((std::string, address))((std::string, locality))((bool, votes)))
TT_STRUCT(Machine, ((std::string, name))((std::string, address))((std::string, locality))((std::string, kind))((bool, leaving))
                   ((std::string, service))((std::string, model))((std::string, weights))((int, slots)))
/// Weights that were named for a model, how long ago in ns (-1 where that is unknown), and an index of the log by which
/// they were named.
TT_STRUCT(VersionNaming, ((std::string, model))((std::string, weights))((std::int64_t, age))((Count, index)))
TT_STRUCT(CellMark, ((std::string, locality))((Count, term))((Count, sequence)))
TT_STRUCT(WorkerView,
          ((std::string, name))((std::string, address))((std::string, locality))((std::string, kind))
          ((std::string, weights))((std::string, model))((int, running))((int, slots))((bool, held))((bool, alive))
          ((bool, confirmed))((Count, kept))((Count, reportSequence))((std::string, summary))((std::string, service))((int, waiting))((int, memory))((int, savedShare)))
TT_STRUCT(LinkSpeed, ((std::string, source))((std::string, target))((double, blocksPerSecond)))
TT_STRUCT(KeptEvent, ((Count, sequence))((int, kind))((Hashes, hashes)))
TT_STRUCT(Reader, ((std::string, address))((Count, applied))((std::int64_t, age)))
/// A change that was refused, the entry that says so, and why.
TT_STRUCT(Refusal, ((std::string, changeId))((Count, index))((int, code))((std::string, subject))((std::string, text))
                   ((Count, revision)))
TT_STRUCT(Snapshot,
          ((Count, index))((Count, term))((Count, revision))((std::string, configuration))((std::vector<Member>, members))
          ((Strings, changeIds))((std::vector<Count>, changeRevisions))((std::vector<Refusal>, refusals))
          ((Count, refusalsForgotten)))

/// Name, then fields. One table makes the structs, the variant and the wire form.
#define TT_MESSAGES(X)                                                                                              \
  /* duties */                                                                                                      \
  X(VoteRequest, ((std::string, duty))((Count, term))((std::string, candidate))((bool, probe))((Count, lastTerm))     \
                   ((Count, lastIndex)))                                                                            \
  X(VoteResponse, ((std::string, duty))((Count, term))((std::string, voter))((bool, probe))((bool, granted)))        \
  X(Heartbeat, ((std::string, duty))((Count, term))((std::string, holder))((std::int64_t, sentAt)))                   \
  X(HeartbeatResponse, ((std::string, duty))((Count, term))((std::string, voter))((std::int64_t, sentAt))((bool, granted))) \
  /* the agreed log */                                                                                              \
  X(AppendRequest, ((Count, term))((std::string, leader))((Count, prevIndex))((Count, prevTerm))((Count, commit))       \
                   ((std::vector<Entry>, entries))((Count, round)))                                                                 \
  X(AppendResponse, ((Count, term))((std::string, voter))((bool, matched))((Count, index))((Count, received))((Count, round))) \
  X(InstallSnapshot, ((Count, term))((std::string, leader))((Count, index))((Count, snapshotTerm))                  \
                         ((std::string, digest))((Count, total))((Count, offset))((std::string, bytes))((Count, attempt))) \
  X(HelloRequest, ((Member, self))((bool, formed)))                                                                     \
  X(HelloResponse, ((Member, self))((bool, formed))((std::vector<Member>, members)))                                   \
  X(FormRequest, ((std::vector<Member>, members)))                                                                      \
  X(JoinRequest, ((Member, self)))                                                                                      \
  X(ChangeRequest, ((std::string, askId))((std::string, body))((bool, whole))((std::int64_t, ifRevision))               \
                   ((std::string, changeId))((std::int64_t, sinceRevision))((int, manner))((std::int64_t, toRevision))((Count, seen)))                                        \
  X(ChangeResponse, ((std::string, askId))((int, code))((std::string, subject))((std::string, text))((Count, revision))\
                     ((Count, index))((Count, term)))                                                                              \
  /* news */                                                                                                        \
  X(LogEndRequest, ((Count, askId))((std::string, agent))((std::string, locality))((Count, applied))                      \
                 ((std::vector<CellMark>, cells))((bool, fresh))((bool, relays))((Count, marksDigest)))             \
  X(LogEndResponse, ((Count, askId))((std::string, core))((Count, term))((bool, leads))((Count, lastIndex))              \
                   ((Count, commit))((std::vector<Member>, members))((Strings, watch))((bool, marksKnown))          \
                   ((std::int64_t, marksAge))((Count, marksDigest))((std::vector<Machine>, machines))               \
                   ((std::vector<VersionNaming>, namings)))              \
  X(ReadersRequest, ((Count, roundId))((Count, index))((Count, term)))                                                  \
  X(ReadersResponse, ((Count, roundId))((std::string, core))((bool, has))((std::vector<Reader>, readers)))             \
  X(NewsAsk, ((std::string, agent))((Count, applied))((std::vector<CellMark>, cells)))                              \
  X(NewsMsg, ((Count, commit))((std::vector<Entry>, entries))((std::vector<Snapshot>, snapshots)))                    \
  X(CellNews, ((std::string, locality))((Count, term))((Count, sequence))((std::string, holder))                    \
                  ((std::vector<WorkerView>, workers))((std::vector<LinkSpeed>, links))((bool, light))((Count, base))((Strings, gone)))        \
  X(MarksMsg, ((std::int64_t, age))((std::vector<Machine>, machines)))                                              \
  X(FeedAsk, ((std::int64_t, sentAt))((Count, applied))((std::vector<CellMark>, cells))((Count, marksDigest)))      \
  X(FeedReply, ((std::int64_t, sentAt))((std::int64_t, age))((Count, needed))((bool, known))                        \
               ((std::vector<VersionNaming>, namings)))                                                            \
  /* kept blocks */                                                                                                 \
  X(LookupMsg, ((std::string, lookupId))((std::string, locality))((std::string, keeper))((std::string, weights))    \
                   ((Hashes, hashes))((std::string, replyTo)))                                                      \
  X(LookupReply, ((std::string, lookupId))((std::string, keeper))((std::vector<int>, hits))                          \
                     ((double, waitingTokens))((double, tokensPerMs))((int, pendingHits)))                                  \
  X(WatchMsg, ((std::string, moveId))((std::string, locality))((std::string, source))((std::string, target))        \
                  ((Hashes, hashes))((std::int64_t, deadlineMs))((std::string, replyTo)))                           \
  X(TransferDone, ((std::string, moveId))((bool, success)))                                                         \
  /* back ends: HTTP and JSON on real machines, these structs in sim */                                             \
  X(WorkerOrder, ((std::string, orderId))((std::string, model))((std::string, weights))((std::string, cacheSalt))   \
                     ((Strings, parts))((Hashes, hashes))((int, maxTokens))((bool, moves))((std::string, transferId))\
                     ((std::string, sourceAddress))((std::string, tenant))((bool, app))((std::string, params))       \
                     ((std::string, callerOrderId))((std::string, worker))((std::string, sinkAddress))((int, urgency)) \
                     ((std::int64_t, deadlineMs))((std::string, resumeAfter))((bool, once))((std::int64_t, leaveBy)))                        \
  X(WorkerDrop, ((std::string, orderId)))                                                                           \
  X(WorkerLoad, ((std::string, orderId))((int, running))((int, waiting))((int, slots)))                                      \
  X(WorkerChunk, ((std::string, orderId))((std::string, text))((std::string, piece)))                                                    \
  X(WorkerEnd, ((std::string, orderId))((int, outcome))((int, code))((int, local))((int, fetched))((int, computed)))\
  X(ReportAsk, ((Count, after))((std::string, incarnation))((bool, whole))((int, scope))((std::string, worker)))                                        \
  X(Report, ((std::string, worker))((std::string, incarnation))((std::string, weights))((std::string, model))       \
                ((int, running))((int, slots))((Count, sequence))((std::vector<KeptEvent>, events))((bool, whole))  \
                ((Hashes, kept))((bool, draining))((Count, term))((int, scope))((bool, gaps))((bool, lost))((int, waiting))((int, memory))\
                ((bool, countsOrders))((Count, orders)))                                                           \
  X(ControlAsk, ((Count, term))((std::string, holder))((std::string, action))((std::string, model))                 \
                    ((std::string, weights))((std::string, incarnation))((std::string, worker))                     \
                    ((Count, number))((bool, expects))((Count, expected)))                                          \
  X(ControlReply, ((std::string, worker))((Count, term))((int, code))((Count, number)))                                              \
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
  X(OperatorRequest, ((std::string, askId))((std::string, body))((bool, whole))((std::int64_t, ifRevision))             \
                     ((std::string, changeId))((std::int64_t, sinceRevision))((int, manner))((std::int64_t, toRevision)))                                      \
  X(OperatorResponse, ((std::string, askId))((int, code))((std::string, subject))((std::string, text))                 \
                       ((Count, revision))((Count, reached)))                                                       \
  X(ReadRequest, ((std::string, askId)))                                                                            \
  X(ReadResponse, ((std::string, askId))((bool, confirmed))((Count, revision))((Count, index))) \
  /* a snapshot's pieces */                                                                                         \
  X(InstallSnapshotResponse, ((Count, term))((std::string, voter))((std::string, digest))((Count, offset))          \
                                 ((Count, attempt)))                                                               \
  /* when weights were named, for who has forgotten it */                                                           \
  X(NamingsMsg, ((std::vector<VersionNaming>, namings)))                                                           \
  /* prompts placed at workers and not read yet, told to the cells of those workers */                            \
  X(PrefillStarted, ((std::string, sendId))((std::string, locality))((std::string, worker))((Hashes, hashes))       \
                        ((int, tokens)))                                                                            \
  X(PrefillEnded, ((std::string, sendId))((std::string, locality))((std::string, worker))((Hashes, hashes))         \
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
bool takeCellNews(CellNews& kept, const CellNews& news);
/// Tells one list of machines from another.
Count digestOf(const std::vector<Machine>& machines);
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
std::string encodeEntry(const Entry& entry);
Result<Entry> decodeEntry(std::string_view bytes);

/// How a worker's order ended.
enum class Outcome : int {
  done = 0,
  denied = 1,
  brokenUnsent = 2,
  broken = 3,
  failed = 4,
  silent = 5,
  /// Broken like the others, and it may have run; but only a kept connection is known to have ended, not its worker.
  forgotten = 6
};
/// What an entry in the log is.
enum class EntryKind : int { empty = 0, change = 1, members = 2, whole = 3, refusal = 4 };
/// What a report tells of: all, the kept blocks only, or the worker's condition only.
enum class Scope : int { all = 0, index = 1, condition = 2 };
/// What a change's body is: a patch that is merged; the whole; sections that are each made to be just this; items that
/// each replace what stood under their name; edits, which are items that say nothing of the version that they build on
/// (see resolveEdits); weights that are named by number and only rise.
enum class Manner : int { patch = 0, whole = 1, sections = 2, items = 3, edits = 4, weights = 5 };
/// What happened to kept blocks.
enum class KeptKind : int { stored = 0, removed = 1, cleared = 2 };

}  // namespace tt
