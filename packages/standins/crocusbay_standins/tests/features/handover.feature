Feature: Handover of a deployment between operator shifts

  Scenario Outline: An applied change stays in force during a failure
    Given three hosts that serve the deployment
    And the day shift has applied a deadline of 1250 ms
    When <fault>
    Then every host that runs keeps a deadline of 1250 ms

    Examples:
      | fault                                          |
      | the platform refuses all calls                 |
      | a host is killed                               |
      | a host is paused and resumed                   |
      | the night shift applies an older questionnaire |

  Scenario: A change reaches every host in time although the answer is lost
    Given three hosts that serve the deployment
    And the platform's response to the next write is lost
    When the day shift applies a deadline of 1250 ms
    Then every host that runs has a deadline of 1250 ms within 5 seconds
