#pragma once
/// The times at which weights versions were announced and until when older ones may be used.
#include <deque>

#include "messages.hpp"

namespace tt {

/// Records when each version of a model's weights was announced, and so until when each older one may still be used.
///
/// The use of a version ends a fixed duration after the *first* newer version was announced; later announcements do not
/// move that end. Time points are on the owner's steady clock and never later than the announcement itself, so an error
/// can only end a use too early. An announcement of unknown time counts as made long ago.
class VersionTimeline {
 public:
  /// Records the weights that a model should have. `notBefore` is the latest time at which they are known not to have
  /// been announced: the time up to which the owner's view of the configuration was complete, or no value if it never
  /// was. `index` is the view's index in the log. Does nothing if these are already the newest known weights.
  void observe(const std::string& model, const std::string& weights, std::optional<TimePoint> notBefore, Uint64 index);
  /// Adds what another process knows: the times of announcements whose time is unknown here, and announcements that
  /// precede those known here. `askedAt` is a time not after the request to that process was sent; the ages in
  /// `received` are as of its response.
  void mergeFrom(const std::vector<WeightsAnnouncement>& received, TimePoint askedAt);
  /// Exports each model's announcements younger than `maxAge`, oldest first, and the one before them, so that the
  /// receiver can tell which versions are older still. With `includeUnknown`, a model's newest announcement is exported
  /// even if its time is unknown.
  std::vector<WeightsAnnouncement> exportRecent(TimePoint now, Duration maxAge, bool includeUnknown) const;
  /// Each model's announcements from the first of known time on, and the one before it.
  std::vector<WeightsAnnouncement> exportAll(TimePoint now) const { return exportRecent(now, Duration::max(), false); }
  /// The newest announcement of each model, if its time is known.
  std::vector<WeightsAnnouncement> newestWithKnownTime(TimePoint now) const;
  /// Drops announcements on which no end of use depends any more; `maxUse` is the longest use of an old version.
  void pruneExpired(TimePoint now, Duration maxUse);

  /// Whether these are the newest known weights of the model, or none was ever announced.
  bool isNewest(const std::string& model, const std::string& weights) const;
  /// A time not after the announcement of the first version newer than these weights: TimePoint::min() if that is
  /// unknown or long ago, TimePoint::max() if they are the newest.
  TimePoint supersededAt(const std::string& model, const std::string& weights) const;
  /// A time not after the announcement of the newest version: TimePoint::min() if unknown, TimePoint::max() if none was
  /// announced.
  TimePoint newestAt(const std::string& model) const;
  /// Sets announcements of unknown time to the owner's start, once `maxUse`, the longest use of an old version, has
  /// passed since then. This ends no use earlier or later: with the time unknown, the older versions could not be used
  /// either, and counted from the start their use has ended.
  void resolveUnknownTimes(TimePoint ownStart, TimePoint now, Duration maxUse);

 private:
  struct Announcement {
    std::string weights;
    std::optional<TimePoint> notBefore;
    Uint64 index{0};
  };
  using Announcements = std::deque<Announcement>;
  /// Each model's announcements, oldest first; the last is the newest.
  std::map<std::string, Announcements> announcementsByModel;

  /// Null if no weights were announced for the model.
  const Announcements* announcementsOf(const std::string& model) const;
  /// Pairs the received announcements with the known ones, newest first. As the received index must not be above the
  /// known one's, both are the same announcement, or the received one is an earlier announcement of the same weights.
  /// So no time is ever taken from a later announcement.
  static void mergeModel(Announcements& known, const std::vector<Announcement>& received);
};

/// When the use of a version ends that may last for `maxUse` after the version was superseded. TimePoint::min() and
/// TimePoint::max() are returned unchanged.
TimePoint endOfUse(TimePoint supersededAt, Duration maxUse);

}  // namespace tt
