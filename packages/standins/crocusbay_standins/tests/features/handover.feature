Feature: Operator shifts hand the deployment over

  Scenario Outline: A shift's change stays in force through trouble
    Given three hosts that serve the deployment
    And the day shift has applied a deadline of 1250 ms
    When <trouble>
    Then every host that runs keeps a deadline of 1250 ms

    Examples:
      | trouble                                        |
      | the platform refuses all calls                 |
      | a host is killed                               |
      | a host is frozen and wakes up                  |
      | the night shift applies an older questionnaire |

  Scenario: A change whose answer is lost is in force everywhere in time
    Given three hosts that serve the deployment
    And the platform loses the answer to the next write
    When the day shift applies a deadline of 1250 ms
    Then every host that runs has a deadline of 1250 ms within 5 seconds
