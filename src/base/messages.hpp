#pragma once
#include <boost/preprocessor/seq/for_each.hpp>
#include <boost/preprocessor/tuple/elem.hpp>

#include "base.hpp"

/// The messages that processes send each other, with their binary form.
///
/// A field travels by its place: each struct is written field by field in the order of its table, and a message begins
/// with its number, which is its place in TT_MESSAGES. So messages and fields may be renamed, and messages added at the
/// end of the table; any other change of the tables makes another protocol and another format of stored records.

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

/// Reads or writes one field, as the archive's direction says. wire.cpp defines it for all types that fields have.
template <class Archive, class T>
void serializeField(Archive& archive, T& value);

/// Structs that messages carry. Ages and times are in nanoseconds unless their name ends in "Ms".

/// An entry of the replicated log; `kind` is an EntryKind. `revision` is the configuration's revision after a change; 0
/// stands for the one after the present revision.
TT_STRUCT(LogEntry, ((Uint64, index))((Uint64, term))((int, kind))((std::string, body))((std::string, changeId))
          ((Uint64, revision)))
/// A member of the replicated log's group. One that does not vote is a learner.
TT_STRUCT(Member, ((std::string, id))((std::string, name))((std::string, address))((std::string, zone))
          ((bool, votes)))
/// A row of the platform's machine list. `leaving`: the platform will take the machine away soon.
TT_STRUCT(Machine, ((std::string, name))((std::string, address))((std::string, zone))((std::string, kind))
          ((bool, leaving))((std::string, service))((std::string, model))((std::string, weights))((int, slots)))
/// The weights that a model should have, how long ago they were announced (`age`; -1 if that is not known), and an
/// index of the log by which they had been announced.
TT_STRUCT(WeightsAnnouncement, ((std::string, model))((std::string, weights))((std::int64_t, age))((Uint64, index)))
/// How new a view of a cell is; compared by term, then by sequence.
TT_STRUCT(CellVersion, ((std::string, zone))((Uint64, term))((Uint64, sequence)))
/// A worker or block store as the cell of its zone sees it.
/// `running`, `waiting`, `slots`: requests that run, that wait, and that may run at once. `memory`: used part of the KV
/// cache in percent. `held`: withheld from new requests during a roll-out. `alive`: it reports. `confirmed`: the cell
/// knows exactly which blocks it has. `kept`: number of cached blocks. `summary`: a Bloom filter over their hashes.
/// `savedPermille`: of a store, the share of prefixes in 1/1000 that are worth writing to it.
TT_STRUCT(WorkerView, ((std::string, name))((std::string, address))((std::string, zone))((std::string, kind))
          ((std::string, weights))((std::string, model))((int, running))((int, slots))((bool, withheld))((bool, alive))
          ((bool, confirmed))((Uint64, cachedBlocks))((Uint64, reportSequence))((std::string, summary))
          ((std::string, service))((int, waiting))((int, kvUsedPercent))((int, savedPermille)))
/// The measured speed of transfers from one worker to another.
TT_STRUCT(LinkSpeed, ((std::string, source))((std::string, target))((double, blocksPerSecond)))
/// A change to a worker's cached blocks; `kind` is a CacheEventKind. Sequence numbers have no gaps within one run of a
/// worker.
TT_STRUCT(CacheEvent, ((Uint64, sequence))((int, kind))((Hashes, hashes)))
/// A reader of the log, the index that it had applied, and how long ago it said so.
TT_STRUCT(Reader, ((std::string, address))((Uint64, applied))((std::int64_t, age)))
/// A change that was rejected, the index of the entry that records this, the reason, and the revision of that time.
TT_STRUCT(Refusal, ((std::string, changeId))((Uint64, index))((int, code))((std::string, subject))
          ((std::string, text))((Uint64, revision)))
/// The replicated state up to and with an index. The lists of changes and rejections let a member that starts from it
/// recognize repeated requests; `changeRevisions` belongs to `changeIds` element by element.
TT_STRUCT(Snapshot, ((Uint64, index))((Uint64, term))((Uint64, revision))((std::string, configuration))
          ((std::vector<Member>, members))((Strings, changeIds))((std::vector<Uint64>, changeRevisions))
          ((std::vector<Refusal>, refusals))((Uint64, lastEvictedRefusal)))

/// All messages with their fields. The table makes the structs, the variant Message and the binary form.
/// Fields that recur: `duty` is what is elected (the log's leadership or the holding of a cell), `holder` is the
/// process elected for it, and `term` its term. `requestId` and other ids return in the response. `sentAt` and
/// `askedAt` are on the sender's clock and come back as they were sent, so that it can time its own request.
#define TT_MESSAGES(X)                                                                                                \
  /* elections: `probe` asks whether a vote would be granted, and grants none */                                      \
  X(VoteRequest, ((std::string, duty))((Uint64, term))((std::string, candidate))((bool, probe))((Uint64, lastTerm))   \
      ((Uint64, lastIndex)))                                                                                          \
  X(VoteResponse, ((std::string, duty))((Uint64, term))((std::string, voter))((bool, probe))((bool, granted)))        \
  X(Heartbeat, ((std::string, duty))((Uint64, term))((std::string, holder))((std::int64_t, sentAt)))                  \
  X(HeartbeatResponse, ((std::string, duty))((Uint64, term))((std::string, voter))((std::int64_t, sentAt))            \
      ((bool, granted)))                                                                                              \
  /* the replicated log; `round` numbers the leader's rounds, and a response repeats it */                            \
  X(AppendRequest, ((Uint64, term))((std::string, leader))((Uint64, prevIndex))((Uint64, prevTerm))                   \
      ((Uint64, commit))((std::vector<LogEntry>, entries))((Uint64, round)))                                          \
  X(AppendResponse, ((Uint64, term))((std::string, voter))((bool, matched))((Uint64, index))((Uint64, received))      \
      ((Uint64, round)))                                                                                              \
  X(InstallSnapshot, ((Uint64, term))((std::string, leader))((Uint64, index))((Uint64, snapshotTerm))                 \
      ((std::string, digest))((Uint64, total))((Uint64, offset))((std::string, bytes))((Uint64, attempt)))            \
  /* how a group is formed at the first start, and how a core joins it later */                                       \
  X(HelloRequest, ((Member, self))((bool, formed)))                                                                   \
  X(HelloResponse, ((Member, self))((bool, formed))((std::vector<Member>, members)))                                  \
  X(FormRequest, ((std::vector<Member>, members)))                                                                    \
  X(JoinRequest, ((Member, self)))                                                                                    \
  /* configuration changes, from core to leader: `ifRevision` -1: whatever the present revision; `toRevision`         \
     above 0: the revision that the change makes, below 0: the present one stays; `seen`: index of the log that       \
     the asking core had applied when the operator's request came */                                                  \
  X(ChangeRequest, ((std::string, requestId))((std::string, body))((bool, complete))((std::int64_t, ifRevision))         \
      ((std::string, changeId))((std::int64_t, sinceRevision))((int, changeFormat))((std::int64_t, toRevision))       \
      ((Uint64, appliedAtRequest)))                                                                                               \
  X(ChangeResponse, ((std::string, requestId))((int, code))((std::string, subject))((std::string, text))              \
      ((Uint64, revision))((Uint64, index))((Uint64, term)))                                                          \
  /* readers and cores: how far the log is, and which readers are how far; `watch`: addresses that an agent may       \
     follow */                                                                                                        \
  /* FeedAsk and FeedReply are the same between a proxy and its agent; `needed`: index that the proxy must have       \
     applied */                                                                                                       \
  X(LogEndRequest, ((Uint64, requestId))((std::string, agent))((std::string, zone))((Uint64, applied))                \
      ((std::vector<CellVersion>, cells))((bool, fresh))((bool, relays))((Uint64, machineListDigest)))                \
  X(LogEndResponse, ((Uint64, requestId))((std::string, core))((Uint64, term))((bool, leads))((Uint64, lastIndex))    \
      ((Uint64, commit))((std::vector<Member>, members))((Strings, upstreamCandidates))((bool, machineListKnown))                  \
      ((std::int64_t, machineListAgeNs))((Uint64, machineListDigest))((std::vector<Machine>, machines))               \
      ((std::vector<WeightsAnnouncement>, weightsAnnouncements)))                                                                  \
  X(ReadersRequest, ((Uint64, roundId))((Uint64, index))((Uint64, term)))                                             \
  X(ReadersResponse, ((Uint64, roundId))((std::string, core))((bool, hasEntry))((std::vector<Reader>, readers)))           \
  /* updates: of the configuration, of cells (`base` above 0: only what changed since that sequence; `gone`:          \
     removed workers) and of the machine list (MarksMsg) */                                                           \
  X(NewsAsk, ((std::string, agent))((Uint64, applied))((std::vector<CellVersion>, cells)))                            \
  X(NewsMsg, ((Uint64, commit))((std::vector<LogEntry>, entries))((std::vector<Snapshot>, snapshots)))                \
  X(CellNews, ((std::string, zone))((Uint64, term))((Uint64, sequence))((std::string, holder))                        \
      ((std::vector<WorkerView>, workers))((std::vector<LinkSpeed>, links))((bool, omitsSummaries))((Uint64, base))   \
      ((Strings, removedWorkers)))                                                                                              \
  X(MarksMsg, ((std::int64_t, age))((std::vector<Machine>, machines)))                                                \
  X(FeedAsk, ((std::int64_t, sentAt))((Uint64, applied))((std::vector<CellVersion>, cells))                           \
      ((Uint64, machineListDigest)))                                                                                  \
  X(FeedReply, ((std::int64_t, sentAt))((std::int64_t, age))((Uint64, requiredIndex))((bool, known))                         \
      ((std::vector<WeightsAnnouncement>, weightsAnnouncements)))                                                                  \
  /* cached blocks: `keeper` is the worker or store that is asked; `hits` counts blocks from the prompt's start.      \
     WatchMsg tells a cell to report by TransferDone that blocks have arrived at a worker */                          \
  X(LookupMsg, ((std::string, lookupId))((std::string, zone))((std::string, cacheNode))((std::string, weights))          \
      ((Hashes, hashes))((std::string, replyTo)))                                                                     \
  X(LookupReply, ((std::string, lookupId))((std::string, cacheNode))((std::vector<int>, hits))((double, waitingTokens))  \
      ((double, tokensPerMs))((int, pendingHits)))                                                                    \
  X(WatchMsg, ((std::string, moveId))((std::string, zone))((std::string, source))((std::string, target))              \
      ((Hashes, hashes))((std::int64_t, deadlineMs))((std::string, replyTo)))                                         \
  X(TransferDone, ((std::string, moveId))((bool, success)))                                                           \
  /* workers, in the simulator; real workers speak HTTP, and adapters translate these structs. WorkerOrder:           \
     `moves`: it fetches blocks and computes nothing; `once`: it may run at most once; `sendDeadline`: no send        \
     after this time on the sender's clock, 0: no limit. WorkerEnd: blocks that were cached, fetched and              \
     computed. Report: `gaps`: sequence numbers may be missing from the events; `lost`: events are missing.           \
     ControlAsk: `expected`: the number of commands that the worker must have had before, if `expects` */             \
  X(WorkerOrder, ((std::string, requestId))((std::string, model))((std::string, weights))((std::string, cacheSalt))     \
      ((Strings, parts))((Hashes, hashes))((int, maxTokens))((bool, transferOnly))((std::string, transferId))                \
      ((std::string, sourceAddress))((std::string, tenant))((bool, app))((std::string, params))                       \
      ((std::string, clientRequestId))((std::string, worker))((std::string, sinkAddress))((int, urgency))               \
      ((std::int64_t, deadlineMs))((std::string, resumeAfter))((bool, once))((std::int64_t, sendDeadline)))           \
  X(WorkerDrop, ((std::string, requestId)))                                                                             \
  X(WorkerLoad, ((std::string, requestId))((int, running))((int, waiting))((int, slots)))                               \
  X(WorkerChunk, ((std::string, requestId))((std::string, text))((std::string, eventId)))                                 \
  X(WorkerEnd, ((std::string, requestId))((int, outcome))((int, code))((int, local))((int, fetched))((int, computed)))  \
  X(ReportAsk, ((Uint64, after))((std::string, incarnation))((bool, complete))((int, scope))((std::string, worker)))     \
  X(Report, ((std::string, worker))((std::string, incarnation))((std::string, weights))((std::string, model))         \
      ((int, running))((int, slots))((Uint64, sequence))((std::vector<CacheEvent>, events))((bool, complete))            \
      ((Hashes, cachedBlocks))((bool, draining))((Uint64, term))((int, scope))((bool, gaps))((bool, lost))((int, waiting))    \
      ((int, kvUsedPercent))((bool, reportsCommandCount))((Uint64, commandCount)))                                                        \
  X(ControlAsk, ((Uint64, term))((std::string, holder))((std::string, action))((std::string, model))                  \
      ((std::string, weights))((std::string, incarnation))((std::string, worker))((Uint64, number))((bool, checksCommandCount))  \
      ((Uint64, expectedCommandCount)))                                                                                           \
  X(ControlReply, ((std::string, worker))((Uint64, term))((int, code))((Uint64, number)))                             \
  X(PullAsk, ((std::string, pullId))((Hashes, hashes)))                                                               \
  X(PullReply, ((std::string, pullId))((Hashes, hashes))((Strings, origins)))                                         \
  X(StoreMsg, ((Hashes, hashes))((Strings, origins)))                                                                 \
  X(MachinesAsk, ((std::int64_t, askedAt)))                                                                           \
  X(MachinesReply, ((std::int64_t, askedAt))((std::vector<Machine>, machines)))                                       \
  /* clients and operators; `key` is the client's secret, `partTokens` the length of each part if the client          \
     knows it */                                                                                                      \
  X(CallerOrder, ((std::string, requestId))((std::string, key))((std::string, route))((std::string, model))             \
      ((Strings, parts))((bool, repeatable))((int, maxTokens))((std::string, tenant))((Strings, modes))               \
      ((std::string, params))((std::string, host))((std::string, path))((std::vector<int>, partTokens))               \
      ((std::int64_t, deadlineMs))((std::string, resumeAfter))((int, promptTokens)))                                      \
  X(CallerGone, ((std::string, requestId)))                                                                             \
  X(CallerChunk, ((std::string, requestId))((std::string, text)))                                                       \
  X(CallerVerdict, ((std::string, requestId))((std::string, verdict))((int, code))((std::string, subject))              \
      ((std::string, text))((int, retryAfterMs))((int, tries))((int, local))((int, fetched))((int, computed))         \
      ((std::string, worker))((bool, began)))                                                                         \
  X(OperatorRequest, ((std::string, requestId))((std::string, body))((bool, complete))((std::int64_t, ifRevision))       \
      ((std::string, changeId))((std::int64_t, sinceRevision))((int, changeFormat))((std::int64_t, toRevision)))      \
  X(OperatorResponse, ((std::string, requestId))((int, code))((std::string, subject))((std::string, text))            \
      ((Uint64, revision))((Uint64, reached)))                                                                        \
  X(ReadRequest, ((std::string, requestId)))                                                                          \
  X(ReadResponse, ((std::string, requestId))((bool, confirmed))((Uint64, revision))((Uint64, index)))                 \
  /* says up to which offset a snapshot has arrived */                                                                \
  X(InstallSnapshotResponse, ((Uint64, term))((std::string, voter))((std::string, digest))((Uint64, offset))          \
      ((Uint64, attempt)))                                                                                            \
  /* tells a core that restarted when weights were announced */                                                       \
  X(NamingsMsg, ((std::vector<WeightsAnnouncement>, weightsAnnouncements)))                                                        \
  /* proxies tell a worker's cell which prompts they sent it that are not prefilled yet; `read`: prefill was          \
     completed */                                                                                                     \
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
/// Brings a view of a cell up to date; false if the update is not newer or builds on another state than this one, and
/// then nothing changes. An update with omitsSummaries carries no Bloom filters: workers that are still confirmed and
/// have the same weights keep theirs. An update with a base is applied only to a view of just that sequence.
bool applyCellUpdate(CellNews& cachedBlocks, const CellNews& update);
/// Returns a digest of the fields that readers compare: name, address, zone, kind, leaving. Its order counts.
Uint64 digestOfMachineList(const std::vector<Machine>& machines);
/// The form of a rejection as the body of a log entry.
std::string encodeRefusal(const Refusal& refusal);
Result<Refusal> decodeRefusal(std::string_view bytes);
/// Returns the bytes of one frame; none for an empty message.
std::string encodeMessage(const Message& message);
/// Reads a frame. A malformed one gives badFrame. Memory grows only with the bytes that are there, whatever lengths a
/// frame claims.
Result<Message> decodeMessage(std::string_view frame);
/// The form of snapshots and entries in the ring log and in entries' bodies.
std::string encodeSnapshot(const Snapshot& snapshot);
Result<Snapshot> decodeSnapshot(std::string_view bytes);
std::string encodeEntry(const LogEntry& entry);
Result<LogEntry> decodeEntry(std::string_view bytes);

/// How an attempt at a worker ended. Numbers travel in messages and reports.
enum class AttemptOutcome : int {
  done = 0,
  /// The worker rejected it, so it did not run.
  denied = 1,
  /// The connection failed before the request was sent completely, so it did not run.
  brokenBeforeSend = 2,
  /// The connection broke later; the request may have run.
  broken = 3,
  /// The worker reported a failure.
  failed = 4,
  /// The worker did not answer in time.
  silent = 5,
  /// A connection that was kept open from an earlier request ended without a byte of answer. The request may have run,
  /// but the worker may be well: it may just have closed the idle connection.
  lostOnIdleConnection = 6
};
/// What an entry of the log holds: nothing (a leader's first entry of a term), a configuration change, the group's
/// members, or the rejection of a change. `whole` only takes the place of the entries that an installed snapshot
/// covers.
enum class EntryKind : int { empty = 0, change = 1, members = 2, complete = 3, refusal = 4 };
/// What a worker's report covers: all, only its cached blocks, or only its condition (load and weights).
enum class ReportScope : int { all = 0, index = 1, condition = 2 };
/// How the body of a configuration change is to be read.
enum class ChangeFormat : int {
  /// A merge patch.
  patch = 0,
  /// The complete configuration.
  complete = 1,
  /// Complete sections; sections that are not named stay.
  sections = 2,
  /// Complete items; items that are not named stay.
  items = 3,
  /// Items without what only the present configuration knows, such as their order (see resolveEdits).
  edits = 4,
  /// Weights that have numbers. A change whose numbers are not above the present ones succeeds without effect.
  weights = 5
};
/// What happened to cached blocks. `cleared`: all were removed.
enum class CacheEventKind : int { stored = 0, removed = 1, cleared = 2 };

}  // namespace tt
