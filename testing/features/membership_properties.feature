Feature: Entries send only the requests that the requirements allow

  Background:
    Given entries and targets with a simulated network, key-value service and VM list

  Scenario Outline: No requirement is violated under <focus> with <entries> entries
    Then no requirement is violated in <examples> histories of <focus> with <entries> entries

    Examples:
      | focus       | entries | examples |
      | cold starts | 3       | 60       |
      | handovers   | 3       | 40       |
      | orders      | 3       | 40       |
      | all faults  | 2       | 25       |
      | orders      | 4       | 30       |
      | all faults  | 5       | 12       |

  Scenario: A complete outage of the key-value service does not stop traffic to open targets
    Then for an hour without the key-value service every entry sends to every open target
