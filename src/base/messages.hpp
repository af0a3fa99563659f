#pragma once
#include <boost/preprocessor/seq/for_each.hpp>
#include <boost/preprocessor/tuple/elem.hpp>

#include "base.hpp"

/// The messages that processes send each other, with their binary form.
///
/// Names are not transmitted: each struct is written field by field in the order of its table, and a message begins
/// with its position in TT_MESSAGES. So fields may be renamed, and messages may be added at the end of the table. Any
/// other change of the tables changes the protocol between processes and the format of stored records.

namespace tt {

using Strings = std::vector<std::string>;
using Hashes = std::vector<BlockHash>;
/// An index, term, sequence number or revision.
using Uint64 = std::uint64_t;

/* clang-format off */
#define TT_FIELD(r, data, pair) BOOST_PP_TUPLE_ELEM(2, 0, pair) BOOST_PP_TUPLE_ELEM(2, 1, pair){};
#define TT_SERIALIZE_FIELD(r, data, pair) serializeField(archive, BOOST_PP_TUPLE_ELEM(2, 1, pair));
#define TT_STRUCT(Name, fields)                              \
  struct Name {                                              \
    BOOST_PP_SEQ_FOR_EACH(TT_FIELD, _, fields)               \
    template <class Archive>                                 \
    void serialize(Archive& archive, unsigned) {             \
      BOOST_PP_SEQ_FOR_EACH(TT_SERIALIZE_FIELD, _, fields)   \
    }                                                        \
  };

/// Reads or writes one field, depending on the direction of the archive. Defined in wire.cpp for all types of fields.
template <class Archive, class T>
void serializeField(Archive& archive, T& value);

/// Structs that messages carry. Ages and times are in nanoseconds unless their name ends in "Ms".

/// An entry of the replicated log; `kind` is an EntryKind. `revision` is the revision of the configuration after a change;
/// 0 means the previous revision plus 1.
TT_STRUCT(LogEntry, ((Uint64, index))((Uint64, term))((int, kind))((std::string, body))((std::string, changeId))
          ((Uint64, revision)))
/// A member of the group that replicates the log. A member that does not vote is a learner.
TT_STRUCT(Member, ((std::string, id))((std::string, name))((std::string, address))((std::string, zone))
          ((bool, votes)))
/// A row of the platform's machine list. `leaving`: the platform will remove the machine soon.
TT_STRUCT(Machine, ((std::string, name))((std::string, address))((std::string, zone))((std::string, kind))
          ((bool, leaving))((std::string, service))((std::string, model))((std::string, weights))((int, slots)))
/// The weights that a model should have, how long ago they were announced (`age`; -1 if that is not known), and an index
/// of the log up to which the announcement is contained.
TT_STRUCT(WeightsAnnouncement, ((std::string, model))((std::string, weights))((std::int64_t, age))((Uint64, index)))
/// The version of a view of a cell; compared by term, then by sequence.
TT_STRUCT(CellVersion, ((std::string, zone))((Uint64, term))((Uint64, sequence)))
/// A worker or block store as the cell of its zone sees it.
/// `running`, `waiting`: numbers of requests in these states. `slots`: maximum number of running requests.
/// `kvUsedPercent`: how much of the KV cache is in use. `withheld`: gets no new requests during a roll-out. `alive`: it
/// sends reports. `confirmed`: the cell knows exactly which blocks it has. `cachedBlocks`: number of cached blocks. `summary`: a
/// Bloom filter over their hashes. `savedPermille`: of a store, the share of prefixes, in 1/1000, that are worth writing
/// to it.
TT_STRUCT(WorkerView, ((std::string, name))((std::string, address))((std::string, zone))((std::string, kind))
          ((std::string, weights))((std::string, model))((int, running))((int, slots))((bool, withheld))((bool, alive))
          ((bool, confirmed))((Uint64, cachedBlocks))((Uint64, reportSequence))((std::string, summary))
          ((std::string, service))((int, waiting))((int, kvUsedPercent))((int, savedPermille)))
/// The measured speed of transfers from one worker to another.
TT_STRUCT(LinkSpeed, ((std::string, source))((std::string, target))((double, blocksPerSecond)))
/// A change to a worker's cached blocks; `kind` is a CacheEventKind. Within one run of a worker, sequence numbers are
/// consecutive, unless its report has `gaps`.
TT_STRUCT(CacheEvent, ((Uint64, sequence))((int, kind))((Hashes, hashes)))
/// A reader of the log, the index that it has reported as applied, and how long ago that was.
TT_STRUCT(Reader, ((std::string, address))((Uint64, applied))((std::int64_t, age)))
/// A rejected change: the index of the entry that records the rejection, the reason, and the revision at that time.
TT_STRUCT(Refusal, ((std::string, changeId))((Uint64, index))((int, code))((std::string, subject))
          ((std::string, text))((Uint64, revision)))
/// The replicated state up to and including an index. The lists of changes and rejections let a member that starts from
/// it recognize repeated requests. `changeRevisions` holds the revision for each element of `changeIds`.
TT_STRUCT(Snapshot, ((Uint64, index))((Uint64, term))((Uint64, revision))((std::string, configuration))
          ((std::vector<Member>, members))((Strings, changeIds))((std::vector<Uint64>, changeRevisions))
          ((std::vector<Refusal>, refusals))((Uint64, lastEvictedRefusal)))

/// All messages with their fields. The structs, the variant Message and the binary form are generated from this table.
/// Fields that occur in several messages: `duty` is what is elected (the leader of the log or the holder of a cell),
/// `holder` is the elected process, and `term` its term. `requestId` and other ids are repeated in the response. `sentAt`
/// and `askedAt` are on the sender's clock and are returned unchanged, so that the sender can time its request.
#define TT_MESSAGES(X)                                                                                                \
  /* elections: `probe` asks whether a vote would be granted, and grants none */                                      \
  X(VoteRequest, ((std::string, duty))((Uint64, term))((std::string, candidate))((bool, probe))((Uint64, lastTerm))   \
      ((Uint64, lastIndex)))                                                                                          \
  X(VoteResponse, ((std::string, duty))((Uint64, term))((std::string, voter))((bool, probe))((bool, granted)))        \
  X(Heartbeat, ((std::string, duty))((Uint64, term))((std::string, holder))((std::int64_t, sentAt)))                  \
  X(HeartbeatResponse, ((std::string, duty))((Uint64, term))((std::string, voter))((std::int64_t, sentAt))            \
      ((bool, granted)))                                                                                              \
  /* the replicated log; `round` is the number of the leader's round of requests, repeated in the response */         \
  X(AppendRequest, ((Uint64, term))((std::string, leader))((Uint64, prevIndex))((Uint64, prevTerm))((Uint64, commit)) \
      ((std::vector<LogEntry>, entries))((Uint64, round)))                                                            \
  X(AppendResponse, ((Uint64, term))((std::string, voter))((bool, matched))((Uint64, index))((Uint64, received))      \
      ((Uint64, round)))                                                                                              \
  X(InstallSnapshot, ((Uint64, term))((std::string, leader))((Uint64, index))((Uint64, snapshotTerm))                 \
      ((std::string, digest))((Uint64, total))((Uint64, offset))((std::string, bytes))((Uint64, attempt)))            \
  /* formation of the group at the first start, and joining of cores later */                                         \
  X(HelloRequest, ((Member, self))((bool, formed)))                                                                   \
  X(HelloResponse, ((Member, self))((bool, formed))((std::vector<Member>, members)))                                  \
  X(FormRequest, ((std::vector<Member>, members)))                                                                    \
  X(JoinRequest, ((Member, self)))                                                                                    \
  /* configuration changes, from core to leader. `ifRevision` -1: at any present revision. `toRevision` above 0:      \
     the revision after the change; below 0: the revision does not change. `appliedAtRequest`: index of the log       \
     that the core had applied when it received the operator's request */                                             \
  X(ChangeRequest, ((std::string, requestId))((std::string, body))((bool, complete))((std::int64_t, ifRevision))      \
      ((std::string, changeId))((std::int64_t, sinceRevision))((int, changeFormat))((std::int64_t, toRevision))       \
      ((Uint64, appliedAtRequest)))                                                                                   \
  X(ChangeResponse, ((std::string, requestId))((int, code))((std::string, subject))((std::string, text))              \
      ((Uint64, revision))((Uint64, index))((Uint64, term)))                                                          \
  /* readers and cores: the end of the log, and the indexes that readers have applied. `upstreamCandidates`:          \
     addresses that an agent may follow. FeedAsk and FeedReply serve the same purpose between a proxy and its         \
     agent; `requiredIndex`: the proxy is up to date only if it has applied this index */                             \
  X(LogEndRequest, ((Uint64, requestId))((std::string, agent))((std::string, zone))((Uint64, applied))                \
      ((std::vector<CellVersion>, cells))((bool, fresh))((bool, relays))((Uint64, machineListDigest)))                \
  X(LogEndResponse, ((Uint64, requestId))((std::string, core))((Uint64, term))((bool, leads))((Uint64, lastIndex))    \
      ((Uint64, commit))((std::vector<Member>, members))((Strings, upstreamCandidates))((bool, machineListKnown))     \
      ((std::int64_t, machineListAgeNs))((Uint64, machineListDigest))((std::vector<Machine>, machines))               \
      ((std::vector<WeightsAnnouncement>, weightsAnnouncements)))                                                     \
  X(ReadersRequest, ((Uint64, roundId))((Uint64, index))((Uint64, term)))                                             \
  X(ReadersResponse, ((Uint64, roundId))((std::string, core))((bool, hasEntry))((std::vector<Reader>, readers)))      \
  /* updates of the configuration, of cells and of the machine list (MarksMsg). CellNews with `base` above 0 has      \
     only the changes since that sequence, and names the workers that were removed */                                 \
  X(NewsAsk, ((std::string, agent))((Uint64, applied))((std::vector<CellVersion>, cells)))                            \
  X(NewsMsg, ((Uint64, commit))((std::vector<LogEntry>, entries))((std::vector<Snapshot>, snapshots)))                \
  X(CellNews, ((std::string, zone))((Uint64, term))((Uint64, sequence))((std::string, holder))                        \
      ((std::vector<WorkerView>, workers))((std::vector<LinkSpeed>, links))((bool, omitsSummaries))((Uint64, base))   \
      ((Strings, removedWorkers)))                                                                                    \
  X(MarksMsg, ((std::int64_t, age))((std::vector<Machine>, machines)))                                                \
  X(FeedAsk, ((std::int64_t, sentAt))((Uint64, applied))((std::vector<CellVersion>, cells))                           \
      ((Uint64, machineListDigest)))                                                                                  \
  X(FeedReply, ((std::int64_t, sentAt))((std::int64_t, age))((Uint64, requiredIndex))((bool, known))                  \
      ((std::vector<WeightsAnnouncement>, weightsAnnouncements)))                                                     \
  /* cached blocks. `cacheNode`: the worker or store that the lookup is about. `hits`: numbers of cached blocks,      \
     from the start of the prompt. WatchMsg asks a cell to send TransferDone once a worker has the blocks */          \
  X(LookupMsg, ((std::string, lookupId))((std::string, zone))((std::string, cacheNode))((std::string, weights))       \
      ((Hashes, hashes))((std::string, replyTo)))                                                                     \
  X(LookupReply, ((std::string, lookupId))((std::string, cacheNode))((std::vector<int>, hits))                        \
      ((double, waitingTokens))((double, tokensPerMs))((int, pendingHits)))                                           \
  X(WatchMsg, ((std::string, moveId))((std::string, zone))((std::string, source))((std::string, target))              \
      ((Hashes, hashes))((std::int64_t, deadlineMs))((std::string, replyTo)))                                         \
  X(TransferDone, ((std::string, moveId))((bool, success)))                                                           \
  /* workers; HTTP adapters translate these structs for real workers. WorkerOrder: `transferOnly`: the worker         \
     fetches blocks and computes nothing; `once`: it must run at most once; `sendDeadline`: not to be sent after      \
     this time of the sender's clock, 0: no limit. WorkerChunk: `eventId`: id of the last complete event.             \
     WorkerEnd: `local`, `fetched`, `computed`: numbers of blocks that were cached at the worker, fetched and         \
     computed. Report: `gaps`: the sequence numbers of events are not consecutive; `lost`: events are missing.        \
     ControlAsk: with `checksCommandCount`, the worker executes the command only if it has received                   \
     `expectedCommandCount` commands before */                                                                        \
  X(WorkerOrder, ((std::string, requestId))((std::string, model))((std::string, weights))((std::string, cacheSalt))   \
      ((Strings, parts))((Hashes, hashes))((int, maxTokens))((bool, transferOnly))((std::string, transferId))         \
      ((std::string, sourceAddress))((std::string, tenant))((bool, app))((std::string, params))                       \
      ((std::string, clientRequestId))((std::string, worker))((std::string, sinkAddress))((int, urgency))             \
      ((std::int64_t, deadlineMs))((std::string, resumeAfter))((bool, once))((std::int64_t, sendDeadline)))           \
  X(WorkerDrop, ((std::string, requestId)))                                                                           \
  X(WorkerLoad, ((std::string, requestId))((int, running))((int, waiting))((int, slots)))                             \
  X(WorkerChunk, ((std::string, requestId))((std::string, text))((std::string, eventId)))                             \
  X(WorkerEnd, ((std::string, requestId))((int, outcome))((int, code))((int, local))((int, fetched))                  \
      ((int, computed)))                                                                                              \
  X(ReportAsk, ((Uint64, after))((std::string, incarnation))((bool, complete))((int, scope))((std::string, worker)))  \
  X(Report, ((std::string, worker))((std::string, incarnation))((std::string, weights))((std::string, model))         \
      ((int, running))((int, slots))((Uint64, sequence))((std::vector<CacheEvent>, events))((bool, complete))         \
      ((Hashes, cachedBlocks))((bool, draining))((Uint64, term))((int, scope))((bool, gaps))((bool, lost))            \
      ((int, waiting))((int, kvUsedPercent))((bool, reportsCommandCount))((Uint64, commandCount)))                    \
  X(ControlAsk, ((Uint64, term))((std::string, holder))((std::string, action))((std::string, model))                  \
      ((std::string, weights))((std::string, incarnation))((std::string, worker))((Uint64, number))                   \
      ((bool, checksCommandCount))((Uint64, expectedCommandCount)))                                                   \
  X(ControlReply, ((std::string, worker))((Uint64, term))((int, code))((Uint64, number)))                             \
  X(PullAsk, ((std::string, pullId))((Hashes, hashes)))                                                               \
  X(PullReply, ((std::string, pullId))((Hashes, hashes))((Strings, origins)))                                         \
  X(StoreMsg, ((Hashes, hashes))((Strings, origins)))                                                                 \
  X(MachinesAsk, ((std::int64_t, askedAt)))                                                                           \
  X(MachinesReply, ((std::int64_t, askedAt))((std::vector<Machine>, machines)))                                       \
  /* clients and operators. `key`: the client's secret; `partTokens`: the length of each part in tokens, if the       \
     client has sent it */                                                                                            \
  X(CallerOrder, ((std::string, requestId))((std::string, key))((std::string, route))((std::string, model))           \
      ((Strings, parts))((bool, repeatable))((int, maxTokens))((std::string, tenant))((Strings, modes))               \
      ((std::string, params))((std::string, host))((std::string, path))((std::vector<int>, partTokens))               \
      ((std::int64_t, deadlineMs))((std::string, resumeAfter))((int, promptTokens)))                                  \
  X(CallerGone, ((std::string, requestId)))                                                                           \
  X(CallerChunk, ((std::string, requestId))((std::string, text)))                                                     \
  X(CallerVerdict, ((std::string, requestId))((std::string, verdict))((int, code))((std::string, subject))            \
      ((std::string, text))((int, retryAfterMs))((int, tries))((int, local))((int, fetched))((int, computed))         \
      ((std::string, worker))((bool, began)))                                                                         \
  X(OperatorRequest, ((std::string, requestId))((std::string, body))((bool, complete))((std::int64_t, ifRevision))    \
      ((std::string, changeId))((std::int64_t, sinceRevision))((int, changeFormat))((std::int64_t, toRevision)))      \
  X(OperatorResponse, ((std::string, requestId))((int, code))((std::string, subject))((std::string, text))            \
      ((Uint64, revision))((Uint64, reached)))                                                                        \
  X(ReadRequest, ((std::string, requestId)))                                                                          \
  X(ReadResponse, ((std::string, requestId))((bool, confirmed))((Uint64, revision))((Uint64, index)))                 \
  /* reports up to which offset a snapshot has been received */                                                       \
  X(InstallSnapshotResponse, ((Uint64, term))((std::string, voter))((std::string, digest))((Uint64, offset))          \
      ((Uint64, attempt)))                                                                                            \
  /* tells a restarted core when weights were announced */                                                            \
  X(NamingsMsg, ((std::vector<WeightsAnnouncement>, weightsAnnouncements)))                                           \
  /* proxies report to the cell of a worker which prompts they have sent to the worker, and when prefill of these     \
     has ended; `read`: prefill was completed */                                                                      \
  X(PrefillStarted, ((std::string, sendId))((std::string, zone))((std::string, worker))((Hashes, hashes))             \
      ((int, tokens)))                                                                                                \
  X(PrefillEnded, ((std::string, sendId))((std::string, zone))((std::string, worker))((Hashes, hashes))               \
      ((bool, read)))

/* clang-format on */
#define TT_MESSAGE_STRUCT(Name, fields) TT_STRUCT(Name, fields)
TT_MESSAGES(TT_MESSAGE_STRUCT)
#undef TT_MESSAGE_STRUCT

#define TT_MESSAGE_NAME(Name, fields) , Name
using Message = std::variant<std::monostate TT_MESSAGES(TT_MESSAGE_NAME)>;
#undef TT_MESSAGE_NAME

/// Returns the name of a message's struct; "none" for an empty message.
const char* messageName(const Message& message);
/// Applies an update to a view of a cell. Returns false and changes nothing if the update is not newer, or if it has a
/// base that is not the sequence of the view. An update with omitsSummaries has no Bloom filters: workers that are
/// still confirmed and have the same weights keep theirs.
bool applyCellUpdate(CellNews& view, const CellNews& update);
/// Returns a digest of the fields that readers compare: name, address, zone, kind and leaving. It depends on the order
/// of the list.
Uint64 digestOfMachineList(const std::vector<Machine>& machines);
/// Encodes and decodes a rejection as the body of a log entry.
std::string encodeRefusal(const Refusal& refusal);
Result<Refusal> decodeRefusal(std::string_view bytes);
/// Returns the bytes of one frame, or an empty string for an empty message.
std::string encodeMessage(const Message& message);
/// Decodes a frame. A malformed one gives badFrame. Memory use is bounded by the size of the frame, whatever lengths it
/// contains.
Result<Message> decodeMessage(std::string_view frame);
/// Encode and decode snapshots and entries, as in the ring log and in the bodies of entries.
std::string encodeSnapshot(const Snapshot& snapshot);
Result<Snapshot> decodeSnapshot(std::string_view bytes);
std::string encodeEntry(const LogEntry& entry);
Result<LogEntry> decodeEntry(std::string_view bytes);

/// How an attempt on a worker ended. The numbers are part of messages and reports.
enum class AttemptOutcome : int {
  done = 0,
  /// The worker rejected the request, so it did not run.
  denied = 1,
  /// The connection failed before the request was sent completely, so it did not run.
  brokenBeforeSend = 2,
  /// The connection broke later; the request may have run.
  broken = 3,
  /// The worker reported a failure.
  failed = 4,
  /// The worker did not respond in time.
  silent = 5,
  /// A connection that was kept open from an earlier request ended without a byte of response. The request may have
  /// run, but the worker is not necessarily faulty: it may just have closed the idle connection.
  lostOnIdleConnection = 6
};
/// The content of a log entry. empty: nothing (the first entry of a leader's term). change: a configuration change.
/// members: the members of the group. snapshotBoundary: stands for all entries that an installed snapshot covers.
/// refusal: the rejection of a change.
enum class EntryKind : int { empty = 0, change = 1, members = 2, snapshotBoundary = 3, refusal = 4 };
/// What a worker's report covers: all, only its cached blocks, or only its load and weights.
enum class ReportScope : int { all = 0, index = 1, condition = 2 };
/// The format of the body of a configuration change.
enum class ChangeFormat : int {
  /// A merge patch.
  patch = 0,
  /// The complete configuration.
  complete = 1,
  /// Complete sections; sections that are absent do not change.
  sections = 2,
  /// Complete items; items that are absent do not change.
  items = 3,
  /// Edits that do not depend on the present configuration, for instance on the order of its items (see resolveEdits).
  edits = 4,
  /// Numbered weights. A change in which no number is above the present one succeeds without effect.
  weights = 5
};
/// A change to cached blocks. cleared: all were removed.
enum class CacheEventKind : int { stored = 0, removed = 1, cleared = 2 };

}  // namespace tt
