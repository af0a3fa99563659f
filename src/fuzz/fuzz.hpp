#pragma once
#include <functional>
#include <random>

#include "messages.hpp"

namespace tt {

/// Generates fuzz inputs by mutating valid ones: their tokens (words, numbers, quoted strings, punctuation), the values
/// of a JSON document, or single bytes. The same seed gives the same inputs.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : randomSource(seed) {}
  /// A random number from 0 to below - 1, or 0 if `below` is 0.
  std::uint64_t randomBelow(std::uint64_t below) { return below ? randomSource() % below : 0; }
  /// True with a probability of 1 in `oneIn`.
  bool chance(std::uint64_t oneIn) { return randomBelow(oneIn) == 0; }
  const std::string& pick(const Strings& texts) { return texts[randomBelow(texts.size())]; }
  /// Picks one of the valid texts and mutates it a few times; one in sixteen is returned unchanged.
  std::string mutatedText(const Strings& valid);
  /// Mutates bytes without regard to tokens, for binary formats; one in sixteen is returned unchanged. `other` is a
  /// second valid input, of which parts are copied in.
  std::string mutatedBytes(std::string bytes, const std::string& other);
  /// A number, as text, at or beyond a limit of a numeric type or with unusual syntax.
  std::string boundaryNumber();
  /// A short string of a kind that occurs in valid inputs.
  std::string word();
  std::mt19937_64& source() { return randomSource; }

 private:
  std::mt19937_64 randomSource;
  std::string mutateTextOnce(std::string text, const std::string& other);
  std::string mutateJson(const std::string& text, const std::string& other);
};

/// Fills a message or a struct within one with random values, through the serialize() method that also defines its wire
/// format.
class RandomFiller {
 public:
  explicit RandomFiller(Mutator& randomMutator) : mutator(randomMutator) {}
  Mutator& mutator;
};
void serializeField(RandomFiller& filler, std::string& value);
void serializeField(RandomFiller& filler, bool& value);
void serializeField(RandomFiller& filler, int& value);
void serializeField(RandomFiller& filler, double& value);
void serializeField(RandomFiller& filler, std::int64_t& value);
void serializeField(RandomFiller& filler, Uint64& value);
void serializeField(RandomFiller& filler, BlockHash& value);
template <class T>
void serializeField(RandomFiller& filler, T& value) {
  value.serialize(filler, 0);
}
template <class T>
void serializeField(RandomFiller& filler, std::vector<T>& rows) {
  rows.resize(filler.mutator.randomBelow(4));
  for (auto& row : rows) serializeField(filler, row);
}

/// The outcome of one round. If a property was violated, `broken` describes it and `input` is the input that did it.
struct FuzzOutcome {
  bool accepted{false};
  std::string broken, input;
};
FuzzOutcome accepted();
FuzzOutcome rejected();
FuzzOutcome broken(std::string property, std::string input);
/// The outcome for an input that was rejected with an error. Checks that the error has a known code and a subject.
FuzzOutcome rejectedWith(const Error& error, const std::string& input);

/// A parser under test and the properties that it must hold. A target may keep state between its rounds.
struct FuzzTarget {
  std::string name;
  /// Rounds in the fixed run that the tests use.
  std::size_t rounds{0};
  std::function<FuzzOutcome(Mutator&)> runRound;
};
using FuzzTargets = std::vector<FuzzTarget>;

/// Each of these registers the targets for one group of formats.
void addConfigurationTargets(FuzzTargets& targets);
void addJsonBodyTargets(FuzzTargets& targets);
void addFrameTargets(FuzzTargets& targets);
void addRingTargets(FuzzTargets& targets);
void addClientTargets(FuzzTargets& targets);
/// The platform's request and response bodies and its settings. Defined only in builds that include the platform.
void addWireTargets(FuzzTargets& targets);

/// Total bytes that this thread has allocated so far, including those freed since.
std::size_t allocatedBytes();

}  // namespace tt
