#pragma once
#include "sim.hpp"

namespace tt {

/// A line of a scenario.
struct ScenarioLine {
  int number{0};
  /// Of an 'at' line: when it is carried out, in seconds from the start.
  double at{-1};
  /// The line's words; of an 'at' line from its verb on.
  std::vector<std::string> words;
  /// Of an 'at' line: the text behind the verb as it stands.
  std::string rest;
  /// The word at a position; empty if the line is shorter.
  std::string word(std::size_t position) const { return position < words.size() ? words[position] : std::string(); }
  double numberAt(std::size_t position) const { return std::atof(word(position).c_str()); }
};

/// Carries out the 'at' lines of a scenario on a world. Each line begins with a verb, such as kill or change. Errors
/// are appended to the scenario's failures.
class ScenarioSteps {
 public:
  using OnCheck = std::function<void(const ScenarioLine&)>;
  /// `onCheck` carries out the lines of the verb 'check'. The world and the failures must outlive this object.
  ScenarioSteps(World& steppedWorld, std::vector<std::string>& scenarioFailures, OnCheck checkLine)
      : world(steppedWorld), failures(scenarioFailures), onCheck(std::move(checkLine)) {}
  void run(const ScenarioLine& line);
  /// The processes that a word of a scenario stands for: names separated by commas, @DUTY for its holder,
  /// locality:ZONE, edge-N for the agent and the proxy of a machine, or a group such as cores.
  std::vector<std::string> processesNamed(const std::string& word);

 private:
  using Verb = std::function<void(ScenarioSteps&, const ScenarioLine&)>;
  using Verbs = std::map<std::string, Verb>;
  World& world;
  std::vector<std::string>& failures;
  OnCheck onCheck;

  /// All verbs, and those of each concern.
  static const Verbs& verbs();
  static void addProcessVerbs(Verbs& table);
  static void addDiskVerbs(Verbs& table);
  static void addLinkVerbs(Verbs& table);
  static void addChangeVerbs(Verbs& table);
  static void addTenantVerbs(Verbs& table);
  static void addListVerbs(Verbs& table);
  static void addBackendVerbs(Verbs& table);
  static void addLoadVerbs(Verbs& table);
  static void addTriggerVerbs(Verbs& table);

  void addError(const ScenarioLine& line, const std::string& reason);
  /// Applies an action to all processes that the words from a position on stand for.
  void forEach(const ScenarioLine& line, const std::function<void(const std::string&)>& action);
  std::vector<std::string> membersOfGroup(const std::string& word) const;
  void cutOff(const ScenarioLine& line);
  void cutOneWay(const std::string& name, bool outgoing);
  void corrupt(const std::string& name);
  void setFault(const ScenarioLine& line);
  /// operators CLIENTS CHANGES [lose PERCENT] [pause MS] [same-number] [weights]
  void runOperators(const ScenarioLine& line);
  void submitChange(const std::string& body, const std::string& changeId = {}, std::int64_t ifRevision = -1,
                    bool loseResponse = false);
  void storm(const ScenarioLine& line);
};

/// Scenario words have underscores where names have spaces.
std::string withSpaces(std::string text);
Duration secondsOf(double seconds);

}  // namespace tt
