Feature: What must always hold
  Guarantees to hosts, desks and race crews, tested with real processes and faults.

  Scenario: Memory is never overcommitted while a change is under way
    An operator changes all models to a new version. Replies to load orders are lost
    and an engine dies during the change.
    Given every engine loses its next reply to an order
    When all models are changed to version "2"
    And an engine with "tracker" is killed
    Then "tracker" and "recap" answer at every entry
    And no engine was ever asked to hold more than it can

  Scenario: Every model stays reachable
    The only engine with a model dies, and another engine has to load the model.
    When an engine with "recap" is killed
    Then "recap" and "tracker" answer at every entry

  Scenario: A caller receives the whole answer to its own request
    Engines break off streams, mix in chunks of older streams, and omit end markers.
    Given every engine breaks streams off and mixes in old chunks
    When 8 callers ask "tracker" at once
    Then all answers are whole

  Scenario: What is said not to have run has not run
    Engines accept some requests and break off, and refuse others before admission.
    Given every engine breaks off its next 2 requests after taking them
    When 4 callers ask "tracker" one by one, without patience
    And every engine says that it leaves
    And 4 callers ask "tracker" one by one, without patience
    Then 2 are told that nobody knows
    And 4 are refused as not run, with when to come back
    And no engine has run what is said not to have run

  Scenario: An unrepeatable request runs at most once
    Engines accept requests and break off; callers retry on other entries.
    Given every engine breaks off its next 2 requests after taking them
    When 6 callers ask "tracker" at once for something unrepeatable
    Then each was run at most once, and exactly once if its answer is whole

  Scenario Outline: A leaving engine receives no new work
    The engine with the only copy leaves; one of two sources reports it first.
    Given a long answer is being streamed from an engine with "tracker"
    When <source> says that this engine leaves
    Then another engine answers for "tracker"
    And this engine receives nothing more
    And the long answer is whole and was never cut

    Examples:
      | source            |
      | the engine        |
      | the instance list |

  Scenario: Planned stops cut off no request
    An instance and an engine are stopped at the same time, under load.
    Given a long answer is being streamed from an engine with "tracker"
    When the second instance and this engine are stopped gracefully
    And 8 callers ask "tracker" at once
    Then all answers are whole
    And the long answer is whole and was never cut
    And what was stopped has ended with status 0

  Scenario: An accepted configuration is in force everywhere and never reverts
    After an approval, an instance without connection to the platform dies.
    Given the second instance is cut off from the platform
    When a change is approved
    And the second instance is killed and started again
    Then the change is in force everywhere
