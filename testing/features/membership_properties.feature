Feature: No entry sends what it must not send

  Background:
    Given entries that share targets over a simulated network, store and VM list

  Scenario Outline: Limits and orders hold under <focus> at <entries> entries
    Then in <examples> histories of <focus> at <entries> entries no requirement is broken

    Examples:
      | focus       | entries | examples |
      | cold starts | 3       | 100      |
      | handovers   | 3       | 60       |
      | orders      | 3       | 60       |
      | all faults  | 2       | 40       |
      | orders      | 4       | 40       |
      | all faults  | 5       | 20       |

  Scenario: Outage of the key-value service for everybody does not stop traffic to open targets
    Then for an hour without the key-value service every entry uses every open target
